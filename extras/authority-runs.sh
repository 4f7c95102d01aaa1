#!/usr/bin/env bash
# Real processes that hold duties are killed, paused past their lease and cut off in the middle of
# each step of an order and of a usage report; judged by the records of platform and engines alone.
#   extras/authority-runs.sh [BUILD] [RUNS] [FIRST-SEED]
# A run has three holders, an engine that checks fences and one that does not. What is slowed down
# (the step), what is done to the holder and when are drawn from the run's seed. Prints one line a
# run that went wrong and a table; exits 0 only if every run was right.
# WITHOUT=guard switches a guard off in the holders, to see that the runs notice; KEEP=directory
# keeps the records of wrong runs; AT_ONCE is how many runs go at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
runs=${2:-224}
first=${3:-1}
at_once=${AT_ONCE:-4}
bin=$build/bin
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# step: where it happens (platform or engines), and the fault that holds it for 250 ms.
steps=(
  'lease platform {"fault":"late","ms":250,"method":"PUT","path_prefix":"/objects/leases/","share":0.3}'
  'record platform {"fault":"late","ms":250,"method":"PUT","path_prefix":"/objects/orders/","share":0.5}'
  'record-slow platform {"fault":"slow","ms":250,"method":"PUT","path_prefix":"/objects/orders/","share":0.5}'
  'send engines {"fault":"slow","ms":250,"method":"POST","path_prefix":"/control/orders","share":0.5}'
  'answer engines {"fault":"late","ms":250,"method":"POST","path_prefix":"/control/orders","share":0.5}'
  'settle engines {"fault":"lose-answer","method":"POST","path_prefix":"/control/orders","share":0.5}'
  'report platform {"fault":"late","ms":250,"path_prefix":"/usage","share":0.7}'
)
actions=(kill pause cut cut-store)

one_run() {
  local seed=$1 dir=$work/$1 step action where rule pids=() holders=() name i
  RANDOM=$seed
  mkdir -p "$dir"
  step=${steps[$((seed % ${#steps[@]}))]}
  action=${actions[$((seed / ${#steps[@]} % ${#actions[@]}))]}
  where=$(cut -d' ' -f2 <<<"$step")
  rule=$(cut -d' ' -f3 <<<"$step")
  for name in platform checking plain; do
    local arguments=(engine --role-change-ms 60)
    [ "$name" = platform ] && arguments=(platform)
    [ "$name" = checking ] && arguments+=(--checks-fence)
    "$bin/cuminrail-standin" "${arguments[@]}" >"$dir/$name" 2>/dev/null &
    pids+=($!)
  done
  local tries=0
  until grep -qs listening "$dir/platform" && grep -qs listening "$dir/checking" && grep -qs listening "$dir/plain"; do
    tries=$((tries + 1))
    [ $tries -lt 100 ] || break
    sleep 0.05
  done
  local platform checking plain
  platform=$(awk '{print $2}' "$dir/platform")
  checking=$(awk '{print $2}' "$dir/checking")
  plain=$(awk '{print $2}' "$dir/plain")
  set_faults() { # WHERE RULES
    local target
    for target in $([ "$1" = platform ] && echo "$platform" || echo "$checking" "$plain"); do
      curl -s -m 5 -X PUT -d "{\"seed\":$seed,\"rules\":[$2]}" "http://$target/standin/faults" >/dev/null
    done
  }
  for i in 0 1 2; do
    "$bin/cuminrail-bench" authority-holder --instance "i$i" --members i0,i1,i2 --seed "$((seed * 3 + i))" \
      --platform "$platform" --engines "checking=$checking=fence,plain=$plain" ${WITHOUT:+--without "$WITHOUT"} >"$dir/i$i" 2>&1 &
    holders+=($!)
    pids+=($!)
  done
  sleep 1.2
  set_faults "$where" "$rule"
  sleep "0.$((2 + RANDOM % 8))$((RANDOM % 10))"
  local holder victim others=""
  holder=$(curl -s -m 5 "http://$platform/objects/leases/$([[ $step == report* ]] && echo usage-north || echo orders-east)" |
    sed -nE 's/.*\\"holder\\":\\"i([0-9])\\".*/\1/p')
  holder=${holder:-0}
  victim=${holders[$holder]}
  case $action in
    kill)
      kill -9 "$victim"
      wait "$victim" 2>/dev/null || true
      sleep 3
      ;;
    pause)
      kill -STOP "$victim"
      sleep "1.$((5 + RANDOM % 5))"
      kill -CONT "$victim"
      sleep 1.5
      ;;
    cut | cut-store)
      others="{\"fault\":\"silent\",\"instances\":[\"i$holder\"]}"
      set_faults platform "$others"
      [ $action = cut ] && set_faults engines "$others"
      sleep "1.$((5 + RANDOM % 5))"
      set_faults platform ""
      set_faults engines ""
      sleep 1.2
      ;;
  esac
  # No holder writes any more when the records are read, or the judge would compare two moments.
  for i in "${holders[@]}"; do kill "$i" 2>/dev/null || true; done
  for i in "${holders[@]}"; do wait "$i" 2>/dev/null || true; done
  for name in platform checking plain; do
    curl -s -m 10 "http://${!name}/standin/records" >"$dir/$name.json"
  done
  for i in "${pids[@]}"; do kill "$i" 2>/dev/null || true; done
  for i in "${pids[@]}"; do wait "$i" 2>/dev/null || true; done
  local result=ok
  "$bin/cuminrail-bench" authority-judge "$dir/platform.json" "$dir/checking.json" "$dir/plain.json" \
    >"$dir/verdict" 2>&1 || result=WRONG
  echo "$seed $action $(cut -d' ' -f1 <<<"$step") $result $(cat "$dir/verdict")" >"$work/result-$seed"
  if [ $result = WRONG ] && [ -n "${KEEP:-}" ]; then
    mkdir -p "$KEEP"
    cp -r "$dir" "$KEEP/"
  fi
  rm -rf "$dir"
}

for ((seed = first; seed < first + runs; seed++)); do
  while [ "$(jobs -rp | wc -l)" -ge "$at_once" ]; do sleep 0.1; done
  one_run "$seed" &
done
wait
sum() { grep -ohE "\"$1\":[0-9]+" "$work"/result-* | cut -d: -f2 | awk '{total += $1} END {print total + 0}'; }
cat "$work"/result-* | grep ' WRONG ' || true
echo "action     step          runs  wrong"
awk '{runs[$2 " " $3]++; if ($4 == "WRONG") wrong[$2 " " $3]++}
  END {for (key in runs) {split(key, part, " "); printf "%-10s %-12s %5d %6d\n", part[1], part[2], runs[key], wrong[key]}}' \
  "$work"/result-* | sort
for figure in orders terms reports conflicting without_authority unrecorded shared_fences conflicting_reports reports_without_authority; do
  printf '%-28s %d\n' "$figure" "$(sum "$figure")"
done
passed=$(cat "$work"/result-* | grep -c ' ok ' || true)
echo "$passed passed, $((runs - passed)) failed"
[ "$passed" -eq "$runs" ]
