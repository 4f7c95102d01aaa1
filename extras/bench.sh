#!/usr/bin/env bash
# Runs all benches: tables for people on standard output, JSON for programs in BUILD/bench/.
#   extras/bench.sh [BUILD]
# SEEDS (default 101-110) are the seeds of the policy bench, ONCE_SEEDS (default "101 102 103")
# those of at-most-once.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
bench=$build/bin/cuminrail-bench
out=$build/bench
seeds=${SEEDS:-101-110}
read -ra once_seeds <<<"${ONCE_SEEDS:-101 102 103}"
mkdir -p "$out"

has() { "$bench" --help | grep -qE "^  $1([[:space:]]|$)"; }

# Runs one bench for its table and once more for its JSON.
both() {
  local name=$1
  shift
  echo
  echo "== cuminrail-bench $*"
  "$bench" "$@"
  "$bench" "$@" --format json >"$out/$name.json"
}

# Runs one bench once, for its JSON, and prints that a figure a line.
once() {
  local name=$1
  shift
  echo
  echo "== cuminrail-bench $*"
  "$bench" "$@" --format json >"$out/$name.json"
  tr ',{}' '\n\n\n' <"$out/$name.json" | sed -E '/^ *$/d; s/^ *"/  /; s/":/: /'
}

{
  echo "machine: $(nproc) cores, $(awk '/MemTotal/ {printf "%.0f GB", $2 / 1048576}' /proc/meminfo)," \
    "$(sed -n 's/^model name.*: //p' /proc/cpuinfo | head -1)"
  echo "load at start: $(cut -d' ' -f1-3 /proc/loadavg)"
} | tee "$out/machine.txt"

both path path
for seed in "${once_seeds[@]}"; do once "at-most-once-$seed" at-most-once --seed "$seed"; done
both decide decide
if has control; then both control control; fi
once carriage carriage
both streams streams
both parts parts
both policy policy --seeds "$seeds"
echo
echo "JSON is in $out/"
