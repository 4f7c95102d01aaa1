#!/usr/bin/env bash
# Switches off one guard at a time and shows which modules' tests turn red.
#   extras/mutants.sh [BUILD] [GUARD…]
# The fault matrix does the same for the modules that scenarios run: cuminrail-scenario mutants.
# A test that runs for more than a minute without its guard counts as red: it waits for what the
# guard would have brought about.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
guards=("$@")
[ ${#guards[@]} -gt 0 ] || mapfile -t guards < <(sed -nE 's/^CUMINRAIL_GUARD\([^,]+, "([^"]+)".*/\1/p' modules/core/guards/GuardList.inc)
tests=()
for test in "$build"/bin/test_*; do
  case $test in *_scenario | *bench) ;; *) tests+=("$test") ;; esac
done
export CUMINRAIL_DISABLED_GUARD
noticed=0
unnoticed=0
for guard in "${guards[@]}"; do
  CUMINRAIL_DISABLED_GUARD=$guard
  red=$(printf '%s\n' "${tests[@]}" | xargs -P "${JOBS:-8}" -I{} sh -c \
    'timeout 60 {} >/dev/null 2>&1 || basename {}' | sort | tr '\n' ' ')
  if [ -n "$red" ]; then
    noticed=$((noticed + 1))
    echo "noticed    $guard  $red"
  else
    unnoticed=$((unnoticed + 1))
    echo "UNNOTICED  $guard"
  fi
done
echo "$noticed passed, $unnoticed failed"
[ "$unnoticed" -eq 0 ]
