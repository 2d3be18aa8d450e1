#!/usr/bin/env bash
# run_case.sh FOLDER PROGRAM: runs the program of a case with a temporary folder and a time limit.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
review=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$review/.." || exit 2
if [ ! -x target/bin/chestnut-gateway ] || [ ! -x "$review/bin/$2" ]; then
  echo "Build the gateway as deploy/system.toml says, and run review/build.sh." >&2
  exit 2
fi
folder=$(mktemp -d)
timeout -s KILL 115 "$review/bin/$2" "$case_folder/record.txt" target/bin/chestnut-gateway "$folder"
status=$?
tail -n 400 "$folder"/*.log > "$case_folder/gateways.log" 2> /dev/null
rm -rf "$folder"
[ "$status" -le 2 ] || status=2
exit "$status"
