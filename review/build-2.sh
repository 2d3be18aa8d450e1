#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review-2
mkdir -p "$out"
compile=("${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread)
"${compile[@]}" -c review/stage-2/stage.cxx -o "$out/stage.o"
for source in review/stage-2/case_*.cxx; do
  "${compile[@]}" "$source" "$out/stage.o" -o "$out/$(basename "$source" .cxx)"
done
