#!/usr/bin/env bash
# Configures the project as deploy/system.toml does and compiles a part of it with a compiler option
# that always causes warnings.
#
#   deploy_build_test.sh SOURCE_FOLDER CMAKE
set -euo pipefail
source=$1
cmake=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
found=$(grep -oE '^build = "cmake [^&]*' "$source/deploy/system.toml" | grep -oE -- '-D[A-Z_]+=[A-Za-z]+')
mapfile -t options <<< "$found"
"$cmake" -S "$source" -B "$folder" "${options[@]}" -DCMAKE_CXX_FLAGS=-Wpadded > "$folder/log"
"$cmake" --build "$folder" -j2 --target chestnuthead_http >> "$folder/log" 2>&1 || {
  tail -n 20 "$folder/log" >&2
  exit 1
}
grep -q 'warning: ' "$folder/log"
