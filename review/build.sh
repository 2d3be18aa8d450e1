#!/usr/bin/env bash
# Builds the programs of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p bin
g++ -std=c++20 -O2 -c stage/stage.cxx -o bin/stage.o
for source in stage/case_*.cxx; do
  name=$(basename "$source" .cxx)
  g++ -std=c++20 -O2 "$source" bin/stage.o -o "bin/$name" -pthread
done
