#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
name=$(basename "$here")
[ -x target/bin/cuminrail-gateway ] && [ -x "target/review/case-$name" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
REVIEW_TMP=$(mktemp -d)
export REVIEW_TMP
trap 'rm -rf "$REVIEW_TMP"' EXIT
timeout -k 2 115 "target/review/case-$name" "$here/record.txt"
code=$?
tail -n 1 "$here/record.txt"
[ "$code" -le 1 ] && exit "$code"
exit 2
