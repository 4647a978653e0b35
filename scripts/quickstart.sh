#!/usr/bin/env bash
# The quick start on one machine: installs, builds, starts stand-ins and daemons, submits ticket 1,
# streams one answer, books one order, prints the timeline of the answer and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."

run=$(mktemp -d)
pids=()
step='starting'

finish() {
  local code=$?
  trap - EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$code" -ne 0 ]; then
    echo "quickstart failed while $step (exit code $code)" >&2
    for log in "$run"/*.err; do [ -s "$log" ] && { echo "--- $log" >&2; tail -n 20 "$log" >&2; }; done
  fi
  rm -rf "$run"
  exit "$code"
}
trap finish EXIT

field() { # FILE PATH: prints a field of the "listening" line
  node -e 'const [f, p] = process.argv.slice(1); const line = require("fs").readFileSync(f, "utf8").split("\n").find(l => l.startsWith("{\"listening\"")); console.log(p.split(".").reduce((o, k) => o[k], JSON.parse(line)))' "$1" "$2"
}

launch() { # NAME COMMAND...: starts a process and waits until it prints its "listening" line
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.err" &
  pids+=($!)
  for _ in $(seq 200); do
    grep -q '^{"listening"' "$run/$name.out" && return 0
    kill -0 "${pids[-1]}" 2>/dev/null || return 1
    sleep 0.05
  done
  return 1
}

step='installing'
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --no-audit --no-fund
fi
step='building'
npm run --silent build

bin=dist/src/bin
step='starting the stand-ins'
launch standin node dist/standin/bin/coltsfootlead-standin.js --plan examples/standin.jsonc
store=$(field "$run/standin.out" listening.objectApiUrl)
hosts=$(field "$run/standin.out" listening.hostListUrl)

for role in entry control; do
  for n in 1 2; do
    step="starting $role-$n"
    launch "$role-$n" node "$bin/coltsfootlead-$role.js" --settings "examples/$role-$n.jsonc" \
      --set "objectApi.url=$store" --set "hostList.url=$hosts" --set "log.file=$run/$role-$n.log"
  done
done
export COLTSFOOTLEAD_TOKEN=ana.ana-demo-secret
COLTSFOOTLEAD_OPERATOR=$(field "$run/entry-1.out" listening.operator)
export COLTSFOOTLEAD_OPERATOR
caller=$(field "$run/entry-2.out" listening.caller)

step='waiting for the daemons to find each other'
for _ in $(seq 60); do
  members=$(node "$bin/coltsfootlead.js" members | wc -l)
  [ "$members" -ge 4 ] && break
done
[ "$members" -ge 4 ]

step='submitting ticket 1'
node "$bin/coltsfootlead.js" ticket submit examples/ticket-1.jsonc --wait
step='waiting for the engines to hold their layers'
for _ in $(seq 100); do
  orders=$(cat "$run"/control-*.log | grep -c '"name":"orderSent"' || true)
  [ "$orders" -ge 3 ] && break
  sleep 0.1
done

step='streaming an answer'
node scripts/request.mjs POST "http://$caller/v1/completions" studio.studio-demo-secret \
  '{"model":"draft","prompt":"Livery brief for a delivery van","max_tokens":12,"stream":true}' >"$run/answer"
request=$(head -n 1 "$run/answer")
printf 'answer: '
sed -n 's/^data: {/{/p' "$run/answer" | node -e 'const rows = require("fs").readFileSync(0, "utf8").trim().split("\n"); if (rows.length !== 12) process.exit(1); console.log(rows.map(r => JSON.parse(r).choices[0].text).join(""))'

step='booking an order'
printf 'booking: '
node scripts/request.mjs POST "http://$caller/services/orders/orders" shop.shop-demo-secret '{"item":"print run"}' "order-$$" >"$run/booking"
tail -n +2 "$run/booking"
verdict=$(head -n 1 "$run/booking" | cut -d ' ' -f 2)
echo " (verdict: $verdict)"
[ "$verdict" = ran ]

step='reading the timeline'
echo "timeline of request $request:"
node "$bin/coltsfootlead.js" timeline --request "$request" | tee "$run/timeline"
[ -s "$run/timeline" ]

step='stopping'
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
echo 'quickstart ok'
