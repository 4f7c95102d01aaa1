#!/usr/bin/env bash
# Plays the standard days of deployments whole, one deployment after another, at half of the cores,
# and prints one table of all days, those with a broken rule or a fault first, then by worth.
#   extras/standard-days.sh BENCH WHY SITE...
# BENCH is the users' bench; WHY goes into its journal. Exits with 1 if any day broke a rule.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 3 ]; then
  echo "usage: $0 BENCH WHY SITE..." >&2
  exit 2
fi
bench=$1
why=$2
shift 2
jobs=$(($(nproc) / 2))
days=$(mktemp)
trap 'rm -f "$days"' EXIT
for site in "$@"; do
  if [ ! -e "$site" ]; then
    echo "no such site file: $site" >&2
    exit 2
  fi
  name=$(basename "$site" .toml)
  echo "== $name" >&2
  "$bench" score "$site" --jobs "$jobs" --why "$why" | tee /dev/stderr |
    awk -v site="$name" '/^[a-z]+-[0-9a-f]+ +[0-9]+\/[0-9]+ / {
      print (/BROKEN|FAULT|fault/ ? 0 : 1) "\t" $4 "\t" site "\t" $0 }' >>"$days"
done
echo "deployment               day"
sort -k1,1n -k2,2n "$days" | cut -f3- | awk -F'\t' '{ printf "%-24s %s\n", $1, $2 }'
! grep -q '^0' "$days"
