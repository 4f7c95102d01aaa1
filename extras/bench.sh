#!/usr/bin/env bash
# Runs all benches: a table for people on standard output, JSON for programs in BUILD/bench/.
#   extras/bench.sh [BUILD]
# SEEDS (default "101 102 103") are the seeds of the seeded benches.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
bench=$build/bin/cuminrail-bench
out=$build/bench
read -ra seeds <<<"${SEEDS:-101 102 103}"
mkdir -p "$out"

run() {
  local name=$1
  shift
  echo "== cuminrail-bench $*"
  "$bench" "$@" --format json >"$out/$name.json"
}

# Prints a bench's JSON, one figure a line.
show() { tr ',{}[]' '\n\n\n\n\n' <"$out/$1.json" | sed -E '/^ *$/d; s/^ *"/  /; s/":/: /'; }

has() { "$bench" --help | grep -qE "^  $1([[:space:]]|$)"; }

{
  echo "machine: $(nproc) cores, $(awk '/MemTotal/ {printf "%.0f GB", $2 / 1048576}' /proc/meminfo)," \
    "$(sed -n 's/^model name.*: //p' /proc/cpuinfo | head -1)"
  echo "load at start: $(cut -d' ' -f1-3 /proc/loadavg)"
} | tee "$out/machine.txt"

echo "== cuminrail-bench path"
"$bench" path
run path path
for seed in "${seeds[@]}"; do
  run "at-most-once-$seed" at-most-once --seed "$seed"
  show "at-most-once-$seed"
done
run decide decide
show decide
if has control; then
  run control control
  show control
fi
for workload in inteko-court-day kerlann-festival mix-swing whale-customer domain-loss cheap-reclaim stale-reports prefix-heavy; do
  for seed in "${seeds[@]}"; do
    for policy in round-robin least-outstanding prefix-affinity cuminrail; do
      run "policy-$workload-$policy-$seed" policy --workload "$workload" --seed "$seed" --policy "$policy"
      show "policy-$workload-$policy-$seed" | grep -E 'goodput|worst_customer|role_changes|cost|lost' || true
    done
  done
done
echo "JSON is in $out/"
