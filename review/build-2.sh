#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. Needs only what the
# deploy file's build needs; run after it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-2/*.cpp; do
  name=$(basename "$source" .cpp)
  c++ -std=c++17 -O1 -g -Wall -o "target/review-2/$name" "$source" -lpthread
done
