#!/usr/bin/env bash
# Runs the soak by hand: every seed that once failed, then SEEDS fresh ones (default 50), four at a
# time. Prints what each run found; exits with 1 if any promise was broken.
#   extras/soak.sh [BUILD [SEEDS [FIRST [OPTIONS]]]]
# OPTIONS go to each run: "--cuts --instances 4" cuts gateways from all servers besides,
# "--stray-responses" spoils responses, "--stray-responses=KIND" does so alone and in one way.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
fresh=${2:-50}
first=${3:-$((RANDOM * 10 + 1000))}
known=$(grep -v '^#' extras/soak-seeds.txt | cut -d' ' -f1)
options=${4:-}
run() {
  # shellcheck disable=SC2086 # several options
  "$build"/bin/cuminrail-soak --gateway "$build"/bin/cuminrail-gateway --seed "$1" --seconds 14 $options || exit 255
}
export -f run
export build options
{ echo "$known"; seq "$first" $((first + fresh - 1)); } | xargs -P 4 -I{} bash -c 'run {}'
