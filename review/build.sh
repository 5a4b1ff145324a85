#!/usr/bin/env bash
# Builds the stand-ins and the program of each case into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review/objects
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -I. -c "$1" -o "target/review/objects/$2.o"
}
objects=()
jobs=()
for source in review/stand_ins/*.cc; do
  name=$(basename "$source" .cc)
  compile "$source" "$name" &
  jobs+=($!)
  objects+=("target/review/objects/$name.o")
done
for source in review/[1-5]/case.cc; do
  compile "$source" "case_$(basename "$(dirname "$source")")" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
for source in review/[1-5]/case.cc; do
  name=case_$(basename "$(dirname "$source")")
  g++ "target/review/objects/$name.o" "${objects[@]}" -o "target/review/$name" -pthread
done
