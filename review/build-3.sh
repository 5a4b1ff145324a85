#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
for file in review/stand_ins_3/*.cc; do
  g++ "${flags[@]}" -c "$file" -o "target/review-3/$(basename "$file" .cc).o"
done
for file in review/1[1-5]/case.cc; do
  [ -e "$file" ] || continue
  g++ "${flags[@]}" "$file" target/review-3/*.o -o "target/review-3/case-$(basename "$(dirname "$file")")"
done
