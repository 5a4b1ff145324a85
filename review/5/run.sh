#!/usr/bin/env bash
# Runs the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$here/../.." && pwd)
program="$repository/target/review/case_$(basename "$here")"
[[ -x "$program" && -x "$repository/target/src/command/burdockwheel" ]] || exit 2
folder=$(mktemp -d) || exit 2
end_all() {
  for file in "$folder"/*.pid; do
    [[ -f "$file" ]] && kill -KILL "$(cat "$file")"
  done
  rm -rf "$folder"
}
trap end_all EXIT
cd "$repository" || exit 2
timeout --signal=KILL 115 "$program" "$repository" "$folder" "$here/record.txt"
status=$?
[[ $status -le 1 ]] || exit 2
exit $status
