#!/usr/bin/env bash
# Tests chestnutctl without a fleet: configurations are generated from the examples
# and checked, errors print one message and set the exit status, and docs/commands.md
# matches the output of --help.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
control=${CHESTNUT_BIN:-build/bin}/chestnutctl
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# expect STATUS PATTERN COMMAND...: checks the exit status, and that a line of the
# output matches.
expect() {
  local wanted=$1 pattern=$2 status=0
  shift 2
  "$@" >"$folder/out" 2>&1 || status=$?
  if [ "$status" -ne "$wanted" ] || ! grep -q -- "$pattern" "$folder/out"; then
    echo "$*: status $status, expected $wanted and \"$pattern\"; it printed:" >&2
    cat "$folder/out" >&2
    exit 1
  fi
}

for example in docs/examples/*.answers.json; do
  "$control" generate "$example" >"$folder/configuration.json"
  expect 0 "is valid" "$control" check "$folder/configuration.json"
  expect 0 '"valid":true' "$control" check --json "$example"
done

"$control" questionnaire >"$folder/form.json"
expect 3 "form.json: key failure_domains holds no name, but a list of at least one name" \
  "$control" check "$folder/form.json"
expect 3 "no-such.json: the file can't be read" "$control" check "$folder/no-such.json"
echo '{"services": ' >"$folder/half.json"
expect 3 "half.json: key (document)" "$control" generate "$folder/half.json"
expect 2 "has the form: chestnutctl generate ANSWERS" "$control" generate
expect 2 'The command "aply" is not known' "$control" aply
expect 2 "The option --waite is not known" "$control" apply "$folder/form.json" --waite
expect 2 'The option --base has the value "two", but a number' \
  "$control" apply "$folder/form.json" --base two
expect 2 "CHESTNUT_FLEET is not set" env -u CHESTNUT_FLEET "$control" status
echo '{"platform_address": "here", "node": {}}' >"$folder/fleet.json"
expect 3 "fleet.json: key platform_address holds \"here\", but an IP number and a port" \
  "$control" status --fleet "$folder/fleet.json"
expect 3 "fleet.json: key node" "$control" status --fleet "$folder/fleet.json"
echo '{"platform_address": "127.0.0.1:1", "nodes": {"router-1": "127.0.0.1:1"}}' \
  >"$folder/fleet.json"
expect 1 "router-1 .*no answer" "$control" status --fleet "$folder/fleet.json"
expect 2 "failure-domain or endpoint was expected" "$control" take-out zone north
expect 2 "One of the options --request and --chat" "$control" explain
expect 2 "The options --gateway, --host and --path were expected" \
  "$control" where --gateway 127.0.0.1:1 --host h
expect 5 "The gateway 127.0.0.1:1 does not answer" \
  "$control" where --gateway 127.0.0.1:1 --host h --path /

# Events from log files instead of a fleet.
cat >"$folder/g-1.log" <<'LINES'
{"ts":2000,"level":"warning","node":"g-1","event":"store_lost","table":"op","status":0}
{"ts":5000,"level":"info","node":"g-1","event":"request_ended","request":"r1","outcome":"not_ready","status":503}
LINES
expect 0 "Known at that time:" "$control" explain --request r1 --log "$folder/g-1.log"
expect 0 "store lost, status=0 table=op" "$control" explain --request r1 --log "$folder/g-1.log"
expect 0 '"circumstances":\["' "$control" explain --request r1 --json --log "$folder/g-1.log"
expect 0 "<svg " "$control" explain --request r1 --html --log "$folder/g-1.log"
expect 0 "store_lost" "$control" timeline --log - <"$folder/g-1.log"
expect 1 "Nothing tells of it" "$control" explain --request r2 --log "$folder/g-1.log"
expect 3 "none.log: the file can't be read" "$control" timeline --log "$folder/none.log"

Utilities/command-pages.sh "$control" >"$folder/commands.md"
diff docs/commands.md "$folder/commands.md" \
  || { echo "docs/commands.md differs from --help; run Utilities/command-pages.sh." >&2; exit 1; }
