#!/usr/bin/env bash
# Runs clang-tidy over every source file that changed since it last passed.
# A file's stamp covers its own text, the project headers that it includes, and the linter's
# settings. Stamps are kept by content outside the build folder, so that another checkout on the same
# machine need not lint the same text again.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
stamps=${CUMINRAIL_LINT_CACHE:-${XDG_CACHE_HOME:-${HOME:-/tmp}/.cache}/cuminrail-lint}
mkdir -p "$stamps"
settings=$(cat .clang-tidy | sha256sum | cut -c1-16)
lint_one() {
  local file=$1 key
  # The project headers that the file really includes decide, not all that exist.
  local headers
  headers=$(g++ -std=c++17 -Imodules -I. -MM -MG "$file" 2>/dev/null | tr ' \\' '\n\n' | grep -E '^(\./)?(modules|programs|platform)/' | sort -u || true)
  key=$(cat "$file" $headers 2>/dev/null | sha256sum | cut -c1-32)-$settings
  [ -e "$stamps/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$file" >"$stamps/$key.log" 2>&1; then
    rm -f "$stamps/$key.log"
    touch "$stamps/$key"
  else
    grep -vE 'warnings? (generated|treated)|^Suppressed' "$stamps/$key.log" || true
    rm -f "$stamps/$key.log"
    return 1
  fi
}
export -f lint_one
export build stamps settings
find modules programs platform -name '*.cpp' | sort | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
