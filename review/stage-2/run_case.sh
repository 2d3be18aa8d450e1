#!/usr/bin/env bash
# Runs one case: run_case.sh NAME FOLDER. Writes FOLDER/record.txt. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
program=target/review-2/case_$name
if [ ! -x "$program" ] || [ ! -x target/bin/chestnut-gateway ]; then
  echo "not built: run the build of deploy/system.toml and review/build-2.sh" | tee "$folder/record.txt"
  exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout --signal=KILL 110 "$program" "$work" > "$folder/record.txt" 2>&1
result=$?
echo "TROUBLE=${TROUBLE:-1}: exit $result" >> "$folder/record.txt"
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
