#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs a C++ compiler and the
# JSON headers, as the deploy file's build does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++17 -O2 -g -Wall -Wextra -Ireview/stand -pthread)
g++ "${flags[@]}" -c review/stand/stand.cpp -o target/review/stand.o
for case in review/[123]/case.cpp; do
  [ -e "$case" ] || continue
  name=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" target/review/stand.o -o "target/review/case-$name"
done
