#!/usr/bin/env bash
# Builds if needed, then runs one measure: Utilities/measure.sh NAME [--policy P]
# [--seed N] ...; prints one line of JSON. See build/Source/Measure/chestnut-measure --help.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
Utilities/install-packages.sh >&2
cmake --preset default >&2
cmake --build --preset default --target chestnut-measure >&2
exec build/Source/Measure/chestnut-measure "$@"
