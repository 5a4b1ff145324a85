#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/. Needs g++ and libboost-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=build-review-2
mkdir -p "$folder"
compile() { g++ -std=c++20 -O1 -I. -Wall -Wextra -pthread -c "$1" -o "$folder/$(basename "$1" .cc).o"; }
pids=()
for source in review/stand_ins_2/*.cc review/[6-9]/*.cc review/10/*.cc; do
  [ -e "$source" ] || continue
  compile "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
common=()
for source in review/stand_ins_2/*.cc; do common+=("$folder/$(basename "$source" .cc).o"); done
for source in review/[6-9]/*.cc review/10/*.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cc)
  g++ -pthread "${common[@]}" "$folder/$name.o" -o "$folder/$name"
done
