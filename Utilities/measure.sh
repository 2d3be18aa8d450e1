#!/usr/bin/env bash
# Builds chestnut-measure and runs one measurement, which prints one line of JSON:
#
#   Utilities/measure.sh NAME [--policy P] [--seed N] ...
#
# See build/Source/Measure/chestnut-measure --help.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
Utilities/install-packages.sh >&2
cmake --preset default >&2
cmake --build --preset default --target chestnut-measure >&2
exec build/Source/Measure/chestnut-measure "$@"
