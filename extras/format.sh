#!/usr/bin/env bash
# Formats the sources (--write) or fails on the first one that is not formatted (--check).
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:---check}
mapfile -t files < <(find modules programs platform cmake examples -name '*.h' -o -name '*.cpp' | sort)
if [ "$mode" = --write ]; then
  printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -n 8 clang-format -i
else
  printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -n 8 clang-format --dry-run --Werror
fi
