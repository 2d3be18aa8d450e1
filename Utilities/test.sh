#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests. The output ends with CTest's
# summary. Prints KNOWN-RED.txt and skips the tests that it lists. The first word of a
# line that is not indented is a test: PROGRAM:SUITE::TEST for one test case of a test
# program, or the name of a test of CTest.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
Utilities/install-packages.sh
cmake --preset default
cmake --build --preset default
known_red=()
if [ -s KNOWN-RED.txt ]; then
  cat KNOWN-RED.txt
  CHESTNUTHEAD_KNOWN_RED=$(grep -oE '^[a-z_]+:[^ ]+' KNOWN-RED.txt | paste -sd ' ' || true)
  export CHESTNUTHEAD_KNOWN_RED
  names=$(grep -oE '^[a-z_]+( |$)' KNOWN-RED.txt | tr -d ' ' | paste -sd '|' || true)
  [ -z "$names" ] || known_red=(--exclude-regex "^($names)\$")
fi
ctest --preset default --no-tests=error -j "$(nproc)" "${known_red[@]}" "$@"
