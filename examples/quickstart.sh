#!/usr/bin/env bash
# Runs a complete system on loopback: three replicas and three entries in two failure domains, with
# fake servers. Builds the programs, applies a declaration, sends lookups and a booking, repeats the
# booking, drains a failure domain, prints the timeline, and stops all processes with SIGTERM.
#
# Usage: examples/quickstart.sh [--keep]
# --keep leaves the system running and prints its addresses.
set -euo pipefail
cd "$(dirname "$0")/.."

KEEP=0
[ "${1:-}" = --keep ] && KEEP=1

say() { printf '\n== %s\n' "$1"; }
fail() { printf 'quickstart: FAILED: %s\n' "$1" >&2; exit 1; }

say 'building the programs'
cargo build --quiet --release --bin hawthornhill --bin hawthornctl
cargo build --quiet --release --package hawthornhill-testkit --example fake_server
TARGET=${CARGO_TARGET_DIR:-target}/release
WORK=$(mktemp -d)
PIDS=()

stop_all() {
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
}
cleanup() {
  code=$?
  if [ "$KEEP" = 0 ] || [ "$code" != 0 ]; then
    stop_all
    if [ "$code" != 0 ]; then tail -n 5 "$WORK"/*.log >&2 || true; fi
    rm -rf "$WORK"
  fi
}
trap cleanup EXIT

ctl() { "$TARGET/hawthornctl" --config "$WORK/operator.toml" "$@"; }
# retry SECONDS COMMAND...: repeats a command until it succeeds, for at most SECONDS. Its last
# output is in $WORK/retry.out.
retry() {
  local until=$((SECONDS + $1)); shift
  until "$@" >"$WORK/retry.out" 2>&1; do
    [ "$SECONDS" -lt "$until" ] || { cat "$WORK/retry.out" >&2; return 1; }
    sleep 0.1
  done
}
# Prints a new UUID of version 7.
uuid7() {
  python3 -c 'import os, time
t = int(time.time() * 1000).to_bytes(6, "big"); r = bytearray(os.urandom(10))
r[0] = 0x70 | r[0] & 15; r[2] = 0x80 | r[2] & 63; h = (t + r).hex()
print("-".join((h[:8], h[8:12], h[12:16], h[16:20], h[20:])))'
}

say 'creating keys and settings'
PORT=$((20000 + $$ % 8000))
peer() { echo "127.0.0.1:$((PORT + $1 * 10))"; }
caller() { echo "127.0.0.1:$((PORT + $1 * 10 + 1))"; }
server() { echo "127.0.0.1:$((PORT + $1 * 10 + 2))"; }
operator() { echo "127.0.0.1:$((PORT + $1 * 10 + 3))"; }
DOMAINS=(x ljubljana kranj ljubljana)
"$TARGET/hawthornctl" keys operator clerk --authority "$WORK/authority" --out "$WORK/operator" >/dev/null
for n in 1 2 3; do
  "$TARGET/hawthornctl" keys host "host-$n" --authority "$WORK/authority" --out "$WORK/keys-$n" >/dev/null
  {
    echo "name = \"host-$n\""
    echo "failure_domain = \"${DOMAINS[$n]}\""
    echo 'roles = ["entry", "replica"]'
    echo "data_folder = \"$WORK/data-$n\""
    echo "key_folder = \"$WORK/keys-$n\""
    echo "peer_address = \"$(peer $n)\""
    echo "caller_address = \"$(caller $n)\""
    echo "server_address = \"$(server $n)\""
    echo "operator_address = \"$(operator $n)\""
    echo 'directory_max_age_s = 1'
    for m in 1 2 3; do
      printf '\n[[replicas]]\nhost = "host-%s"\naddress = "%s"\n' "$m" "$(peer $m)"
    done
  } >"$WORK/host-$n.toml"
  "$TARGET/hawthornhill" --settings "$WORK/host-$n.toml" --check >/dev/null
done
{
  echo "key_folder = \"$WORK/operator\""
  echo "endpoints = [\"host-1=$(operator 1)\", \"host-2=$(operator 2)\", \"host-3=$(operator 3)\"]"
} >"$WORK/operator.toml"

say 'starting three processes, each an entry and a replica'
for n in 1 2 3; do
  "$TARGET/hawthornhill" --settings "$WORK/host-$n.toml" 2>"$WORK/host-$n.log" &
  PIDS+=($!)
done
retry 10 ctl replica init
cat "$WORK/retry.out"

say 'applying the declaration of team depots'
cat >"$WORK/depots.json" <<'JSON'
{
  "team": "depots",
  "services": [
    {"name": "zaloga", "priority": 0, "timeout_ms": 1000},
    {"name": "najem", "priority": 1, "non_repeatable": [{"method": "POST", "path": "/"}]}
  ]
}
JSON
retry 10 ctl apply --wait "$WORK/depots.json"
cat "$WORK/retry.out"

say 'starting fake servers, which announce themselves'
start_server() {
  "$TARGET/examples/fake_server" --name "$1" --service "$2" --domain "$3" \
    --entry "$(server 1)" --entry "$(server 2)" --count-file "$WORK/$1.count" 2>"$WORK/$1.log" &
  PIDS+=($!)
}
start_server zaloga-1 zaloga ljubljana
start_server zaloga-2 zaloga kranj
start_server najem-1 najem ljubljana
start_server najem-2 najem kranj

say 'querying the directory, then looking up stock at the entry that it returns'
entry_for() {
  curl -sf "http://$(caller 1)/v1/entries/$1" |
    python3 -c 'import json, sys; print(json.load(sys.stdin)["entries"][0]["address"])'
}
retry 10 entry_for zaloga
ENTRY=$(entry_for zaloga)
echo "the directory returns $ENTRY"
lookup() { curl -sf "http://$ENTRY/v1/call/zaloga/stock?cylinder=argon"; }
retry 20 lookup
cat "$WORK/retry.out"
for _ in $(seq 100); do lookup | grep -q 'end$' || fail 'a lookup got no complete answer'; done
echo '100 lookups got complete answers'

say 'sending a booking, then repeating it with the same key'
ENTRY=$(entry_for najem)
KEY=$(uuid7)
# book ENTRY: sends the booking and prints its outcome. Fails if the answer has no outcome header.
book() {
  curl -s -o "$WORK/book.out" -D "$WORK/book.head" -X POST -H "Idempotency-Key: $KEY" \
    -d 'swap 2 argon' "http://$1/v1/call/najem/rentals"
  grep -i '^hawthornhill-outcome:' "$WORK/book.head" | tr -d '\r' | cut -d' ' -f2
}
# Prints the number of requests that the servers of najem have run.
runs() { cat "$WORK"/najem-*.count | awk '{ sum += $1 } END { print sum }'; }
booked() { KEY=$(uuid7); [ "$(book "$ENTRY")" = ran ] && grep -q '^server=najem' "$WORK/book.out"; }
retry 20 booked
grep -o '^server=[^ ]*' "$WORK/book.out"
KEY=$(grep -i '^idempotency-key:' "$WORK/book.head" | tr -d '\r' | cut -d' ' -f2)
sleep 0.3
BEFORE=$(runs)
OTHER=$(caller 2)
[ "$OTHER" = "$ENTRY" ] && OTHER=$(caller 3)
OUTCOME=$(book "$OTHER")
sleep 0.3
echo "repeated at another entry: outcome $OUTCOME, $(cat "$WORK/book.out")"
[ "$OUTCOME" = ran ] || fail "the outcome of the repeated booking is ${OUTCOME:-missing} instead of ran"
[ "$(runs)" = "$BEFORE" ] || fail 'the repeated booking ran again'
echo 'the booking did not run again'

say 'draining the failure domain kranj'
ctl drain kranj --wait
sleep 2
ENTRY=$(entry_for zaloga)
BEFORE=$(cat "$WORK/zaloga-2.count")
for _ in $(seq 100); do retry 5 lookup; done
sleep 0.2
[ "$(cat "$WORK/zaloga-2.count")" = "$BEFORE" ] || fail 'the server in the drained domain received requests'
echo '100 lookups succeeded, none of them at the server in kranj'
ctl undrain kranj --wait

say 'status'
ctl status

say 'last lines of the merged timeline'
ctl timeline >"$WORK/timeline.out"
tail -n 12 "$WORK/timeline.out"
grep -q claim-decided "$WORK/timeline.out" || fail 'the timeline has no claim-decided event'

if [ "$KEEP" = 1 ]; then
  say "the system is still running; stop it with: kill ${PIDS[*]}"
  for n in 1 2 3; do echo "host-$n: callers $(caller $n), servers $(server $n), operators $(operator $n)"; done
  echo "operator settings: $WORK/operator.toml"
  exit 0
fi

say 'stopping all processes with SIGTERM'
for pid in "${PIDS[@]}"; do kill -TERM "$pid"; done
for pid in "${PIDS[@]}"; do wait "$pid" || fail "process $pid did not stop cleanly"; done
PIDS=()
echo 'all stopped cleanly'
