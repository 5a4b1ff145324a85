#!/usr/bin/env bash
# Tests the command line as a person uses it. Usage: command_line_test.sh BINARY SOURCE_FOLDER
set -euo pipefail
binary=$1
source=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

expect_status() {
  local expected=$1 status=0
  shift
  "$@" >"$folder/out" 2>"$folder/err" || status=$?
  if [ "$status" -ne "$expected" ]; then
    echo "status $status in place of $expected: $*"
    cat "$folder/out" "$folder/err"
    exit 1
  fi
}

fail() {
  echo "$1"
  cat "$folder/host.log"
  exit 1
}

fail_text() {
  echo "printed: $1"
  cat "$folder/out"
  exit 1
}

expect_text() {
  grep -q -- "$1" "$folder/out" "$folder/err" || {
    echo "not printed: $1"
    cat "$folder/out" "$folder/err"
    exit 1
  }
}

cat >"$folder/good.json" <<'JSON'
{"service": "slot-calendar",
 "calls": [{"name": "read-slots", "method": "GET", "path": "/slots/{plant}", "idempotent": true}]}
JSON
# A whole configuration: what can never be used, and what differs.
cat >"$folder/in-force.json" <<'JSON'
{"version": 7, "services": [{"service": "slots", "calls": [
  {"name": "read", "method": "GET", "path": "/s", "idempotent": true, "deadline_ms": 900}]}]}
JSON
cat >"$folder/next.json" <<'JSON'
{"version": 7, "services": [{"service": "slots", "calls": [
  {"name": "read", "method": "GET", "path": "/s", "idempotent": true, "deadline_ms": 200}]}]}
JSON
expect_status 0 "$binary" check --against="$folder/in-force.json" "$folder/next.json"
expect_text "contradiction: version: 7 is not above 7"
expect_text "contradiction: service slots call read: a call may wait"
expect_text "change: service slots call read: the time limit goes from 900 ms to 200 ms"
expect_status 0 "$binary" check --json --against="$folder/in-force.json" "$folder/next.json"
expect_text '"kind": "change"'
expect_status 0 bash -c "\"$binary\" check - <\"$folder/in-force.json\""
# The platform's own form is translated first; a fault in it is one.
cat >"$folder/platform.json" <<'JSON'
{"listeners": [], "upstreams": []}
JSON
expect_status 1 "$binary" check "$folder/platform.json"
expect_text "member-missing"

# Numbers that hosts take for others are named, not passed over.
cat >"$folder/platform.json" <<'JSON'
{"version": "0000000c", "listeners": [], "upstreams": [
  {"name": "slots", "health_path": "/h", "max_conns": 3, "protocol": "h1", "tls": false}],
 "limits": {"max_header_bytes": 2000000, "max_body_bytes": 4000000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 900000}}
JSON
expect_status 0 "$binary" check "$folder/platform.json"
expect_text "adjusted: service slots max_conns: hosts take 25 for 3"
expect_text "adjusted: limits max_header_bytes: hosts take 1048576 for 2000000"
expect_text "adjusted: caller_limits header_bytes: hosts take 65535 for each field for 1048576"
! grep -q "body_bytes" "$folder/out" || fail_text "body_bytes without settings"
cat >"$folder/settings.json" <<'JSON'
{"host": "host-1", "failure_domain": "fd-1", "caller_listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2",
 "peer_listen": "127.0.0.1:3", "platform": {"kind": "store", "address": "127.0.0.1:4"},
 "memory_mb": 160, "most_body_bytes": 2000000}
JSON
expect_status 0 "$binary" check --settings="$folder/settings.json" "$folder/platform.json"
expect_text "adjusted: caller_limits body_bytes: hosts take 2000000 for 4000000"

cat >"$folder/bad.json" <<'JSON'
{"service": "slot-calendar", "worker": {"slots": 0, "threads": 2},
 "calls": [{"name": "read-slots", "method": "GET", "path": "slots", "idempotent": true}]}
JSON

expect_status 0 "$binary" --help
expect_text "burdockwheel serve \[SETTINGS\]"
expect_status 0 "$binary" --version
expect_status 2 "$binary" frobnicate
expect_status 0 "$binary" check "$folder/good.json"
# Every fault is named, not only the first.
expect_status 1 "$binary" check "$folder/bad.json"
expect_text "/worker/slots: out-of-range"
expect_text "/worker/threads: unknown-key"
expect_text "/calls/0/path: malformed"
expect_status 3 "$binary" check "$folder/absent.json"
expect_status 0 "$binary" bundle --version-number=7 "$folder/good.json"
expect_text '"version":7'
cp "$folder/out" "$folder/first"
expect_status 0 "$binary" bundle --version-number=7 "$folder/good.json"
cmp "$folder/out" "$folder/first"
expect_status 1 "$binary" bundle --version-number=7 "$folder/good.json" "$folder/good.json"
expect_text "duplicate-name"
expect_status 1 "$binary" serve "$folder/good.json"
expect_text "/caller_listen: missing"
expect_status 0 "$binary" replay "$source"/traces/*.jsonl "$source"/traces/ownership/*.jsonl
sed 's/"runs"/"ruins"/; s/relay/refuse/g; s/answered/refused/g' "$source/traces/slow-read.jsonl" >"$folder/wrong.jsonl"
expect_status 1 "$binary" replay "$folder/wrong.jsonl"
expect_status 3 "$binary" explain --admin=127.0.0.1:1

# A host takes changed settings without ending, and goes on with the old ones if the new ones have faults.
settings() {
  cat <<JSON
{"host": "host-1", "failure_domain": "fd-1", "caller_listen": "127.0.0.1:0", "admin_listen": "127.0.0.2:0",
 "peer_listen": "127.0.0.3:0", "platform": {"address": "127.0.0.1:1"}, "log_level": "$1",
 "stop": {"announce_ms": 50, "most_wait_ms": 500}}
JSON
}
await_text() {
  for _ in $(seq 100); do
    grep -q -- "$1" "$folder/host.log" && return
    sleep 0.05
  done
  fail "no line with $1"
}
settings info >"$folder/host.json"
BURDOCKWHEEL_CONFIG=$folder/host.json "$binary" serve >"$folder/host.log" 2>&1 &
host=$!
await_text "event=started"
kill -HUP "$host"
await_text "event=reload outcome=taken"
settings shrill >"$folder/host.json"
kill -HUP "$host"
await_text "event=reload outcome=refused-invalid"
kill -TERM "$host"
wait "$host" || fail "the host did not end well"

echo "1 passed, 0 failed"
