#!/usr/bin/env bash
# Plots one emulated day: requests by ending, engines by stage, what runs and waits, and memory.
#   extras/plot-load.sh LOAD-FILE SEED OUT.svg [BUILD]
set -euo pipefail
if [ $# -lt 3 ]; then
  sed -n '2,3p' "$0" >&2
  exit 2
fi
load=$1 seed=$2 out=$3 build=${4:-build}
series=$(mktemp)
trap 'rm -f "$series"' EXIT
"$build/bin/cuminrail-bench" load --load "$load" --seeds "$seed" --placement cuminrail --series "$series" >/dev/null
gnuplot <<PLOT
set terminal svg size 900,1000
set output "$out"
set datafile separator ","
set key outside
set multiplot layout 4,1
set ylabel "requests a second"
plot "$series" using 1:2 skip 1 with lines title "asked", "" using 1:3 skip 1 with lines title "on time", \
  "" using 1:4 skip 1 with lines title "late", "" using 1:5 skip 1 with lines title "refused", \
  "" using 1:6 skip 1 with lines title "failed"
set ylabel "engines"
plot "$series" using 1:7 skip 1 with steps title "reading", "" using 1:8 skip 1 with steps title "generating", \
  "" using 1:9 skip 1 with steps title "changing"
set ylabel "requests"
plot "$series" using 1:10 skip 1 with lines title "running", "" using 1:11 skip 1 with lines title "waiting"
set ylabel "share of memory"
set xlabel "second"
plot "$series" using 1:12 skip 1 with lines title "running", "" using 1:13 skip 1 with lines title "cached"
PLOT
