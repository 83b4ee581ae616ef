#!/bin/bash
# Starts the stand-ins and seven entry instances in four data centres as separate processes, runs one
# request of each kind and one batch task to completion, prints the timeline and stops all processes.
#   ./quickstart.sh          do all of this and exit with code 0
#   ./quickstart.sh --keep   leave the processes running until interrupted
set -u
cd "$(dirname "$0")"
KEEP=no
case "${1:-}" in
  "") ;;
  --keep) KEEP=yes ;;
  --help) sed -n '2,5p' "$0" | sed 's/^# //'; exit 0 ;;
  *) echo "quickstart.sh: unknown option $1; try --help" >&2; exit 2 ;;
esac
DIR=$(mktemp -d)
PIDS=()
NAMES=()

fail() {
  echo "quickstart.sh: $1" >&2
  stop_all
  exit 1
}

# The stand-ins are the first entry of PIDS and are stopped last, because an entry instance needs the
# platform's store to leave.
stop_all() {
  local i
  for ((i = ${#PIDS[@]} - 1; i > 0; i--)); do
    kill -TERM "${PIDS[$i]}" 2>/dev/null
  done
  for ((i = ${#PIDS[@]} - 1; i > 0; i--)); do
    wait "${PIDS[$i]}" 2>/dev/null
    echo "  ${NAMES[$i]} stopped, exit code $?"
  done
  kill -TERM "${PIDS[0]}" 2>/dev/null
  wait "${PIDS[0]}" 2>/dev/null
  rm -rf "$DIR"
}

start() {
  local name=$1
  shift
  "$@" >"$DIR/$name.log" 2>&1 &
  PIDS+=($!)
  NAMES+=("$name")
}

until_ok() {
  local i
  for ((i = 0; i < 300; i++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.2
  done
  return 1
}

if [ ! -d standin/target/lib ] || [ ! -d daemon/target/lib ] || [ ! -d ctl/target/lib ]; then
  echo "Building (first time only) ..."
  mvn -B -q package -DskipTests || { echo "quickstart.sh: the build failed" >&2; exit 1; }
fi

echo "Starting the stand-ins: platform, 8 workers, 16 endpoints ..."
start stand-ins bin/cottontack-standin --data-centres sofia-1,sofia-2,sofia-3,sofia-4 \
  --store-port 7000 --control-port 7090
until_ok grep -q ready "$DIR/stand-ins.log" || fail "the stand-ins did not start: $(cat "$DIR/stand-ins.log")"

echo "Starting 7 entry instances over 4 data centres ..."
OPS=""
N=0
for spec in 1 1 2 2 3 3 4; do
  N=$((N + 1))
  cat >"$DIR/entry-$N.yaml" <<EOF
dataCentre: sofia-$spec
listen: {callers: "127.0.0.1:710$N", operators: "127.0.0.1:720$N", peers: "127.0.0.1:730$N"}
platform: {store: "127.0.0.1:700$((spec - 1))", membership: "127.0.0.1:700$((spec - 1))"}
ownership: {leaseMillis: 3000, driftMarginMillis: 300, orderLifetimeMillis: 500}
EOF
  start "entry-$N" bin/cottontack run --settings "$DIR/entry-$N.yaml"
  OPS="$OPS,127.0.0.1:720$N"
done
OPS=${OPS#,}
for i in 1 2 3 4 5 6 7; do
  until_ok curl -sf "http://127.0.0.1:720$i/health/live" || fail "entry-$i did not start: $(cat "$DIR/entry-$i.log")"
done

echo "Putting the table in force ..."
until_ok bin/cottontackctl table apply examples/rilatek/table.yaml --expected 0 --editor quickstart \
  --instance 127.0.0.1:7201 --wait-for "$OPS" || fail "the table was not accepted"
for i in 1 2 3 4 5 6 7; do
  until_ok curl -sf "http://127.0.0.1:710$i/health/ready" || fail "entry-$i is not ready"
done
for i in 1 2 3 4 5 6 7; do
  until_ok curl -sf -d '{"warm":"up"}' "http://127.0.0.1:710$i/v1/requests/mandate-check" || fail "entry-$i took up no endpoint"
done

echo
echo "An idempotent request (sofia-1):"
curl -sS -f -H 'X-Caller: desk' -d '{"mandate":"BG-77"}' http://127.0.0.1:7101/v1/requests/mandate-check || fail "the request failed"
echo
echo "A transfer, which runs at most once (sofia-2), and the same transfer again at another instance:"
curl -sS -f -H 'X-Caller: desk' -H 'Idempotency-Key: t-1' -d '{"transfer":1,"once":true}' http://127.0.0.1:7103/v1/requests/standing-order || fail "the transfer failed"
echo
sleep 1
curl -sS -f -H 'X-Caller: desk' -H 'Idempotency-Key: t-1' -d '{"transfer":1,"once":true}' http://127.0.0.1:7104/v1/requests/standing-order || fail "the repeated transfer failed"
echo
echo "A batch task that reconciles two files (sofia-3):"
curl -sS -f -d '{"id":"night-1","row":"reconcile","input":{"left":["A 10","B 20"],"right":["A 10","B 21"],"millis":500}}' \
  http://127.0.0.1:7105/v1/tasks >/dev/null || fail "the task was not taken"
until_ok bash -c 'curl -sf http://127.0.0.1:7106/v1/tasks/night-1 | grep -q "\"phase\":\"finished\""' || fail "the task did not finish"
curl -sS http://127.0.0.1:7106/v1/tasks/night-1
echo
echo
echo "What happened, over all processes:"
bin/cottontackctl timeline --from "$OPS"
echo
echo "Broken promises seen by the stand-ins' own ledger:"
curl -sS http://127.0.0.1:7090/control/ledger | sed 's/"requestRuns.*//'
echo

if [ "$KEEP" = yes ]; then
  cat <<EOF

Running until you press Ctrl-C. Try:
  curl -i -H 'X-Caller: me' -d '{"mandate":"BG-78"}' http://127.0.0.1:7102/v1/requests/mandate-check
  bin/cottontackctl status --instance 127.0.0.1:7201
  bin/cottontackctl instances --instance 127.0.0.1:7201
  bin/cottontackctl table diff examples/rilatek/table.yaml --instance 127.0.0.1:7201
  bin/cottontackctl timeline --from $OPS
  kill -9 ${PIDS[1]}    # entry-1; entry-2 takes over its share
EOF
  trap 'echo; echo "Stopping gracefully ..."; stop_all; exit 0' INT TERM
  while true; do sleep 1; done
fi
echo "Stopping gracefully ..."
stop_all
