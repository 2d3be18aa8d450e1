#!/usr/bin/env bash
# Runs one measurement and prints its line of JSON:
#   Utilities/measure.sh NAME [--policy P] [--seed N] [--nodes N]
# Needs a built folder "build".
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
exec build/Source/Measure/chestnut-measure "$@"
