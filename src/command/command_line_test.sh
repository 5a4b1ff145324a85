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
cat >"$folder/bad.json" <<'JSON'
{"service": "slot-calendar", "worker": {"slots": 0, "threads": 2},
 "calls": [{"name": "read-slots", "method": "GET", "path": "slots", "idempotent": true}]}
JSON

expect_status 0 "$binary" --help
expect_text "burdockwheel serve SETTINGS"
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
echo "1 passed, 0 failed"
