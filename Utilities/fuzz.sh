#!/usr/bin/env bash
# Fuzzes what comes from outside: callers' requests, event streams, the store's
# rows, peers' messages and settings files.
#
#   Utilities/fuzz.sh              replays the corpus and a bounded number of inputs
#                                  from a fixed seed, the same each time
#   Utilities/fuzz.sh SECONDS      goes on for so long a target from a fresh seed
#
# An input that breaks a promise is kept in build-fuzz/, and the exit status is 1.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
seconds=${1:-0}
runs=40000
cmake -S . -B build-fuzz -G Ninja -DCHESTNUTHEAD_PARTS=fuzz -DCMAKE_CXX_COMPILER=clang++ \
  -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_UNITY_BUILD=ON \
  -DCHESTNUTHEAD_SANITIZE=fuzzer-no-link,address,undefined > /dev/null
cmake --build build-fuzz > build-fuzz/build.log 2>&1 || { cat build-fuzz/build.log >&2; exit 1; }

fuzz_one() {
  local name=$1 seconds=$2 runs=$3 log=build-fuzz/$1.log
  local options=(-artifact_prefix="build-fuzz/$name-" -max_len=4096 -print_final_stats=1)
  # libFuzzer writes what it finds into the first folder: never into the repository.
  local found=build-fuzz/found/$name
  if [ "$seconds" -gt 0 ]; then
    options+=(-max_total_time="$seconds")
  else
    rm -rf "$found"
    options+=(-seed=1 -runs="$runs")
  fi
  mkdir -p "$found"
  if "build-fuzz/bin/${name}_fuzz" "${options[@]}" "$found" \
    "Tests/Fuzz/corpus/$name" > "$log" 2>&1; then
    echo "$name: $(sed -n 's/^stat::number_of_executed_units: *//p' "$log") inputs, no fault"
  else
    cat "$log"
    return 1
  fi
}
export -f fuzz_one
printf '%s\n' http events store peer settings \
  | xargs -P "$(nproc)" -I '{}' bash -c 'fuzz_one "$@"' fuzz '{}' "$seconds" "$runs"
