#!/usr/bin/env bash
# Starts 3, 6, 12 and 24 real instances on loopback and prints, at rest: the platform's own count of
# calls a second by kind, and each instance's processor share, memory and bytes to peers.
#   extras/store-calls.sh [BUILD] [SIZES…]
# Ends only what it started. About half a minute a size.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
sizes=("${@:-}")
[ -n "${sizes[0]}" ] || sizes=(3 6 12 24)
settle=${SETTLE:-15}
span=${SPAN:-20}
work=$(mktemp -d)
pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

started() { sed -nE 's/^listening ([0-9.:]+).*/\1/p' "$1"; }
admin_of() { sed -nE 's/.* admin ([0-9.:]+).*/\1/p' "$1"; }
await() {
  local try
  for try in $(seq 200); do [ -n "$("$1" "$2")" ] && return 0; sleep 0.05; done
  echo "$2 did not start" >&2
  return 1
}
ticks() { awk '{sub(/^.*\) /, ""); print $12 + $13}' "/proc/$1/stat"; }

domains=(kgl-a kgl-b kgl-c)
echo "0123456789abcdef0123" >"$work/secret"
printf '%9s %7s %7s %7s %7s %9s %7s | %7s %9s %9s\n' instances gets/s puts/s lists/s watch/s \
  instances/s waiting core% MiB peer_B/s
for size in "${sizes[@]}"; do
  "$build/bin/cuminrail-standin" platform --listen 127.0.0.1:0 --no-records >"$work/platform" &
  pids+=($!)
  await started "$work/platform"
  platform=$(started "$work/platform")
  "$build/bin/cuminrailctl" --platform "$platform" apply examples/inteko >/dev/null
  seeds=""
  instances=()
  for number in $(seq "$size"); do
    "$build/bin/cuminraild" --listen 127.0.0.1:0 --admin-listen 127.0.0.1:0 \
      --peer-listen "127.0.0.1:$((21000 + number))" --peers "${seeds:-127.0.0.1:21002}" \
      --peer-secret-file "$work/secret" --platform "$platform" --instance-id "i-$number" \
      --failure-domain "${domains[$((number % 3))]}" --region kigali --threads 1 \
      --log-level warning >"$work/i-$number" 2>"$work/i-$number.err" &
    pids+=($!)
    instances+=($!)
    [ "$number" -le 3 ] && seeds="${seeds:+$seeds,}127.0.0.1:$((21000 + number))"
  done
  for number in $(seq "$size"); do await admin_of "$work/i-$number"; done
  sleep "$settle"
  peer_bytes() {
    local number total=0 bytes
    for number in $(seq "$size"); do
      bytes=$(curl -s "http://$(admin_of "$work/i-$number")/state" \
        | grep -oE '"bytes_sent":[0-9]+' | tail -1 | cut -d: -f2)
      total=$((total + bytes))
    done
    echo "$total"
  }
  calls_of() { curl -s "http://$platform/standin/calls" | grep -oE "\"$1\":[0-9]+" | cut -d: -f2; }
  kinds=(get put list watch instances)
  declare -A before=()
  for kind in "${kinds[@]}"; do before[$kind]=$(calls_of "$kind" || echo 0); done
  cpu=0
  for pid in "${instances[@]}"; do cpu=$((cpu - $(ticks "$pid"))); done
  bytes=$(peer_bytes)
  sleep "$span"
  for pid in "${instances[@]}"; do cpu=$((cpu + $(ticks "$pid"))); done
  bytes=$(($(peer_bytes) - bytes))
  row=()
  for kind in "${kinds[@]}"; do
    now=$(calls_of "$kind" || echo 0)
    row+=("$(awk -v a="${now:-0}" -v b="${before[$kind]:-0}" -v s="$span" 'BEGIN {printf "%.1f", (a - b) / s}')")
  done
  waiting=$(curl -s "http://$platform/standin/calls" | grep -oE '"waiting_watches":[0-9]+' | cut -d: -f2)
  memory=0
  for pid in "${instances[@]}"; do
    memory=$((memory + $(awk '/^RssAnon/ {print $2}' "/proc/$pid/status")))
  done
  printf '%9d %7s %7s %7s %7s %9s %7s | %7s %9s %9s\n' "$size" "${row[0]}" "${row[1]}" "${row[2]}" \
    "${row[3]}" "${row[4]}" "$waiting" \
    "$(awk -v c="$cpu" -v n="$size" -v s="$span" 'BEGIN {printf "%.2f", c / n / s}')" \
    "$(awk -v m="$memory" -v n="$size" 'BEGIN {printf "%.1f", m / n / 1024}')" \
    "$((bytes / size / span))"
  stop_all
done
