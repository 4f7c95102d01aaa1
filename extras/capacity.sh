#!/usr/bin/env bash
# Measures again the slopes that docs/CAPACITY.md is worked out from.
#   extras/capacity.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
echo "== cuminrail-bench control"
"$build/bin/cuminrail-bench" control
echo
echo "== cuminrail-bench decide"
"$build/bin/cuminrail-bench" decide
echo
echo "== extras/store-calls.sh"
extras/store-calls.sh "$build"
echo
echo "docs/CAPACITY.md has the figures that these are compared with."
