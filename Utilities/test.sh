#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests. Closes on CTest's summary.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
Utilities/install-packages.sh
cmake --preset default
cmake --build --preset default
ctest --preset default --no-tests=error -j "$(nproc)" "$@"
