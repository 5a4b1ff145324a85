#!/usr/bin/env bash
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
number=$(basename "$here")
[ -x "target/review-3/case-$number" ] && [ -x target/src/command/burdockwheel ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "target/review-3/case-$number" "$folder" "$here/record.txt"
code=$?
[ $code -le 1 ] || code=2
exit $code
