#!/usr/bin/env bash
# Shows the whole path on loopback: stand-ins for platform, engines and services, three instances in
# three failure domains, the settings tree of examples/inteko, real requests, a graceful stop.
#   extras/demo.sh [BUILD]          the whole demo
#   extras/demo.sh [BUILD] --thin   one instance with settings from a directory, without a platform
#   extras/demo.sh [BUILD] --hold   the whole demo, then keeps everything running (for extras/smoke)
# Exits with 0 only if everything was right, judged by what the stand-ins recorded.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
mode=full
for argument in "$@"; do
  case "$argument" in
    --thin) mode=thin ;;
    --hold) mode=hold ;;
    *) build=$argument ;;
  esac
done
bin=$build/bin
work=$(mktemp -d)
pids=()
failures=0
rows=0
declare -A address admin pid_of

cleanup() {
  local pid
  # Instances first: their planned stop still writes to the platform.
  for pid in "${pid_of[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pid_of[@]}"; do wait "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

# check WHAT EXPECTED FOUND: one row of the table.
check() {
  rows=$((rows + 1))
  if [ "$2" = "$3" ]; then
    printf '  ok      %-62s %s\n' "$1" "$3"
  else
    printf '  WRONG   %-62s expected %s, found %s\n' "$1" "$2" "$3"
    failures=$((failures + 1))
  fi
}

# Waits until a command succeeds, for at most so many tenths of a second.
wait_for() {
  local tenths=$1 i
  shift
  for ((i = 0; i < tenths; i++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  return 1
}

# start_standin NAME ARGUMENTS…: sets address[NAME].
start_standin() {
  local name=$1
  shift
  "$bin/cuminrail-standin" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  wait_for 50 grep -q '^listening' "$work/$name.out" || { echo "$name did not start"; cat "$work/$name.err"; exit 1; }
  address[$name]=$(awk '/^listening/ {print $2}' "$work/$name.out")
}

start_instance() {
  local name=$1 domain=$2
  shift 2
  "$bin/cuminraild" --listen 127.0.0.1:0 --admin-listen 127.0.0.1:0 --instance-id "$name" \
    --failure-domain "$domain" --region kigali --drain-lag-ms 500 "$@" \
    >"$work/$name.out" 2>"$work/$name.err" &
  pid_of[$name]=$!
  pids+=($!)
  wait_for 50 grep -q '^listening' "$work/$name.out" || { echo "$name did not start"; cat "$work/$name.err" "$work/$name.out"; exit 1; }
  address[$name]=$(awk '/^listening/ {print $2}' "$work/$name.out")
  admin[$name]=$(awk '/^listening/ {print $4}' "$work/$name.out")
}

is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://${admin[$1]}/readyz")" = 200 ]; }
is_gone() { ! kill -0 "$1"; }

# request INSTANCE KEY METHOD PATH BODY [CURL ARGUMENTS…]: prints the status; answer in $work/head, body.
request() {
  local instance=$1 key=$2 method=$3 path=$4 body=$5
  shift 5
  curl -sN -m 20 -o "$work/body" -D "$work/head" -w '%{http_code}' -X "$method" \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' --data "$body" "$@" \
    "http://${address[$instance]}$path" || true
}
header() { tr -d '\r' <"$work/head" | awk -F': ' -v name="$1" 'tolower($1) == name {print $2}'; }

# One record of a stand-in a line.
records() { curl -s "http://${address[$1]}/standin/records" | sed 's/},{"at_ms"/},\n{"at_ms"/g'; }
all_records() {
  local name
  for name in "$@"; do records "$name"; echo; done
}
count() { grep -cE "$1" || true; }

# The tree of examples/inteko with the addresses of the stand-ins that run here.
engine_flags=("" --checks-fence --checks-fence "--role decode" "" --checks-fence ""
  "--role prefill --checks-fence" --checks-fence "" --checks-fence)
engines=()
services=()
start_upstreams() {
  local i substitutions=()
  for i in 1 2 3 4 5 6 7 8 9 10; do
    # shellcheck disable=SC2086
    start_standin "engine-$i" engine --token-ms 10 --models summary-7b@2026-11,privilege-3b@2026-09 ${engine_flags[$i]}
    engines+=("engine-$i")
    substitutions+=(-e "s/127\.0\.0\.1:$((18000 + i))\"/${address[engine-$i]}\"/")
  done
  for i in 1 2 3; do
    start_standin "service-$i" service
    services+=("service-$i")
    substitutions+=(-e "s/127\.0\.0\.1:$((18100 + i))\"/${address[service-$i]}\"/")
  done
  cp -r examples/inteko "$work/tree"
  sed -i "${substitutions[@]}" "$work/tree/fleet.json"
}

completion='{"model":"summary-7b","prompt":"Exhibit 12: lease of 4 March.","max_tokens":8}'
streamed='{"model":"summary-7b","messages":[{"role":"user","content":"Summarise exhibit 12."}],"max_tokens":8,"stream":true}'
key=demo-key-chamber-akagera
expected_completions=0

show_completions() {
  local instance=$1
  check "$instance: a plain completion" 200 "$(request "$instance" $key POST /v1/completions "$completion")"
  check "$instance: its verdict" ran "$(header x-cuminrail-verdict)"
  check "$instance: its text is there" 1 "$(count '"text":"w' <"$work/body")"
  check "$instance: a streamed completion" 200 "$(request "$instance" $key POST /v1/chat/completions "$streamed")"
  check "$instance: its events" 9 "$(count '^data: ' <"$work/body")"
  check "$instance: it ends whole" 'data: [DONE]' "$(grep '^data: ' "$work/body" | tail -1)"
  expected_completions=$((expected_completions + 2))
}

show_refusals() {
  local instance=$1
  check "$instance: a withdrawn key" 401 "$(request "$instance" demo-key-withdrawn-inteko POST /v1/completions "$completion")"
  check "$instance: its verdict" not-run "$(header x-cuminrail-verdict)"
  check "$instance: an unknown key" 401 "$(request "$instance" nobodys-key POST /v1/completions "$completion")"
  check "$instance: a model that the customer may not use" 403 \
    "$(request "$instance" demo-key-chamber-rusizi POST /v1/completions "${completion/summary-7b/privilege-3b}")"
  check "$instance: a model that nobody has" 404 \
    "$(request "$instance" $key POST /v1/completions "${completion/summary-7b/summary-9b}")"
  check "$instance: a lodging without Idempotency-Key" 400 \
    "$(request "$instance" $key POST /services/lodging/bundles '{}')"
}

show_lodging() {
  local body='{"bundle":"RC-0417","pages":212}' first
  check "instance-a: a lodging with an Idempotency-Key" 200 \
    "$(request instance-a $key POST /services/lodging/bundles "$body" -H 'Idempotency-Key: bundle-0417')"
  first=$(cat "$work/body")
  wait_for 30 claim_is_done || true
  check "instance-b: its repeat" 200 \
    "$(request instance-b $key POST /services/lodging/bundles "$body" -H 'Idempotency-Key: bundle-0417')"
  check "instance-b: is the stored answer" true "$(header x-idempotent-replay)"
  check "instance-b: is the same answer" same "$([ "$first" = "$(cat "$work/body")" ] && echo same || echo another)"
  check "instance-c: the same key with another body" 422 \
    "$(request instance-c $key POST /services/lodging/bundles '{"bundle":"other"}' -H 'Idempotency-Key: bundle-0417')"
  check "instance-c: the same key of another customer is another lodging" 200 \
    "$(request instance-c demo-key-chamber-kivu POST /services/lodging/bundles "$body" -H 'Idempotency-Key: bundle-0417')"
}
# The claim's end is written after the caller has its answer.
claim_is_done() { curl -s "http://${address[platform]}/list?prefix=claims/" | grep -q 'done'; }

show_keys() {
  local added new_key began instance
  added=$("$bin/cuminrailctl" keys add --team counsel --customer chamber-rusizi --format json)
  new_key=$(sed -E 's/.*"key":"([^"]*)".*/\1/' <<<"$added")
  for instance in instance-a instance-b instance-c; do
    wait_for 60 key_gives 200 "$instance" "$new_key" || true
    check "$instance: a new key works within 6 s" 200 "$(request "$instance" "$new_key" GET /v1/models '')"
  done
  began=$(date +%s%N)
  "$bin/cuminrailctl" keys withdraw --key-stdin <<<"$new_key" >/dev/null
  for instance in instance-a instance-b instance-c; do
    wait_for 50 key_gives 401 "$instance" "$new_key" || true
    check "$instance: once withdrawn it stops within 5 s" 401 "$(request "$instance" "$new_key" GET /v1/models '')"
  done
  printf '          withdrawn everywhere after %d ms\n' $((($(date +%s%N) - began) / 1000000))
}
key_gives() { [ "$(request "$2" "$3" GET /v1/models '')" = "$1" ]; }

show_graceful_stop() {
  local instance=$1 stream_pid exit_code=0 long=${streamed/\"max_tokens\":8/\"max_tokens\":150}
  curl -sN -m 20 -H "Authorization: Bearer $key" -d "$long" \
    "http://${address[$instance]}/v1/chat/completions" >"$work/stream" &
  stream_pid=$!
  pids+=("$stream_pid")
  wait_for 30 grep -q '^data: ' "$work/stream" || true
  check "$instance: its graceful stop begins with a stream open" 0 \
    "$("$bin/cuminrailctl" drain "${admin[$instance]}" >/dev/null; echo $?)"
  wait_for 10 is_not_ready "$instance" || true
  check "$instance: it says that it is not ready" 503 \
    "$(curl -s -o /dev/null -w '%{http_code}' "http://${admin[$instance]}/readyz" || true)"
  wait "$stream_pid" || true
  check "$instance: the stream came whole" 151 "$(count '^data: ' <"$work/stream")"
  check "$instance: to its end" 'data: [DONE]' "$(grep '^data: ' "$work/stream" | tail -1)"
  wait_for 150 is_gone "${pid_of[$instance]}" || true
  wait "${pid_of[$instance]}" || exit_code=$?
  check "$instance: its process ended well" 0 "$exit_code"
  expected_completions=$((expected_completions + 1))
}
is_not_ready() { ! is_ready "$1"; }

judge_records() {
  local everything="$work/everything"
  all_records "${engines[@]}" "${services[@]}" >"$everything"
  check "stand-ins: completions that ran, all asked for and no other" "$expected_completions" \
    "$(grep -E '"target":"/v1/(chat/)?completions"' "$everything" | count '"ran":true')"
  check "stand-ins: runs for the customer whose key came" "$expected_completions" \
    "$(grep -E '"target":"/v1/(chat/)?completions"' "$everything" | count '"x-customer":"chamber-akagera"')"
  check "stand-ins: requests that bring a caller's key" 0 "$(count 'demo-key|crk-|"authorization"' <"$everything")"
}

judge_platform() {
  local everything="$work/everything"
  all_records "${services[@]}" >"$everything"
  check "services: runs of the lodging" 1 \
    "$(grep 'RC-0417' "$everything" | grep '"x-customer":"chamber-akagera"' | count '"ran":true')"
  check "services: runs of the other customer's lodging" 1 \
    "$(grep 'RC-0417' "$everything" | grep '"x-customer":"chamber-kivu"' | count '"ran":true')"
  check "platform: records that show a caller's key" 0 "$(records platform | count 'demo-key|crk-')"
}

show_thin() {
  start_upstreams
  start_instance instance-a kgl-a --peer-listen 127.0.0.1:0 --settings-dir "$work/tree"
  wait_for 100 is_ready instance-a || true
  show_completions instance-a
  show_refusals instance-a
  show_graceful_stop instance-a
  judge_records
}

show_full() {
  local port domain secret=$work/peer-secret peers="" name
  start_standin platform platform
  export CUMINRAIL_PLATFORM=${address[platform]}
  start_upstreams
  head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$secret"
  check "cuminrailctl: what apply would change" 1 "$("$bin/cuminrailctl" apply "$work/tree" --dry-run >/dev/null; echo $?)"
  check "cuminrailctl: apply" 0 "$("$bin/cuminrailctl" apply "$work/tree" >/dev/null; echo $?)"
  check "cuminrailctl: no difference is left" 0 "$("$bin/cuminrailctl" diff "$work/tree" >/dev/null; echo $?)"
  port=$((20000 + RANDOM % 10000))
  for domain in a b c; do peers+="127.0.0.1:$((port++)),"; done
  port=$((port - 3))
  for domain in a b c; do
    start_instance "instance-$domain" "kgl-$domain" --platform "$CUMINRAIL_PLATFORM" \
      --peer-listen "127.0.0.1:$((port++))" --peers "${peers%,}" --peer-secret-file "$secret"
  done
  for name in instance-a instance-b instance-c; do
    wait_for 150 is_ready "$name" || true
    check "$name: ready" 200 "$(curl -s -o /dev/null -w '%{http_code}' "http://${admin[$name]}/readyz" || true)"
  done
  for name in instance-a instance-b instance-c; do show_completions "$name"; done
  show_lodging
  show_refusals instance-b
  show_keys
  check "cuminrailctl: status, all are current" 0 \
    "$("$bin/cuminrailctl" status --admin "${admin[instance-a]},${admin[instance-b]},${admin[instance-c]}" >"$work/status"; echo $?)"
  sed 's/^/          /' "$work/status"
  show_graceful_stop instance-b
  judge_records
  judge_platform
  show_gateway
}

# The gateway's path as separate processes: instances over stand-ins of the platform's store and of
# upstreams, with faults, planned stops and a judge that sees what callers and upstreams see.
show_gateway() {
  local log="$work/gateway.log"
  check "cuminrail-gateway: its settings are checked" 2 \
    "$("$bin/cuminrail-gateway" --settings /nonexistent --check >/dev/null 2>&1; echo $?)"
  check "cuminrail-gateway: 8 s of faults, no promise broken" 0 \
    "$("$bin/cuminrail-soak" --gateway "$bin/cuminrail-gateway" --seed 1 --seeds 1 --seconds 8 >"$log" 2>&1; echo $?)"
  sed 's/^/          /' "$log" | tail -n 3
}

echo "cuminrail demo ($mode)"
began=$(date +%s)
if [ "$mode" = thin ]; then show_thin; else show_full; fi
echo
echo "$((rows - failures)) of $rows as they should be, in $(($(date +%s) - began)) s"
if [ "$mode" = hold ] && [ $failures -eq 0 ]; then
  echo "instance http://${address[instance-a]} key $key; stops on end of input"
  cat >/dev/null
fi
[ $failures -eq 0 ]
