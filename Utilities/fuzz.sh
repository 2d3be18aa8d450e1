#!/usr/bin/env bash
# Fuzzes the parsers of external input: callers' requests, event streams, rows of
# the store, peer messages and settings files.
#
#   Utilities/fuzz.sh              runs the corpus and a fixed number of inputs from a
#                                  fixed seed, so that each run is the same
#   Utilities/fuzz.sh SECONDS      runs each target for that long with a random seed
#
# An input that makes a target fail is saved in build-fuzz/, and the exit status is
# non-zero.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
seconds=${1:-0}
runs=40000
cmake -S . -B build-fuzz -G Ninja -DCHESTNUTHEAD_PARTS=fuzz -DCMAKE_CXX_COMPILER=clang++ \
  -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_UNITY_BUILD=ON -DCMAKE_COMPILE_WARNING_AS_ERROR=ON \
  -DCHESTNUTHEAD_SANITIZE=fuzzer-no-link,address,undefined > /dev/null
cmake --build build-fuzz > build-fuzz/build.log 2>&1 || { cat build-fuzz/build.log >&2; exit 1; }

fuzz_one() {
  local name=$1 seconds=$2 runs=$3 log=build-fuzz/$1.log
  local options=(-artifact_prefix="build-fuzz/$name-" -max_len=4096 -print_final_stats=1)
  # libFuzzer adds new inputs to the first corpus folder. This one is in the build
  # folder, so that a run does not change the corpus in the repository.
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
