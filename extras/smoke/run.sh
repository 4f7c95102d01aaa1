#!/usr/bin/env bash
# Runs the official OpenAI client against the demo's instances. Needs node and an npm registry, so
# it is not part of `make check`.
#   extras/smoke/run.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
work=$(mktemp -d)
trap 'exec 3>&-; wait "$demo" 2>/dev/null || true; rm -rf "$work"' EXIT
demo=$$
cp extras/smoke/package.json extras/smoke/smoke.mjs "$work/"
(cd "$work" && npm install --no-audit --no-fund --silent)
# The demo goes on until its standard input ends.
mkfifo "$work/input"
extras/demo.sh "$build" --hold <"$work/input" >"$work/demo" &
demo=$!
exec 3>"$work/input"
until grep -q '^instance http' "$work/demo"; do
  kill -0 "$demo" 2>/dev/null || { cat "$work/demo"; exit 1; }
  sleep 0.2
done
read -r _ at _ key _ < <(grep '^instance http' "$work/demo" | tr -d ';')
(cd "$work" && node smoke.mjs "$at" "$key")
