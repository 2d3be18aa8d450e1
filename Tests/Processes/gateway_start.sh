#!/usr/bin/env bash
# Builds the gateway by the deploy file's own line and starts it on settings
# files: a good one, a bad one, and one whose port is taken.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
folder=$(mktemp -d "${TMPDIR:-/tmp}/chestnuthead-gateway.XXXXXX")
gateway=0
finish() {
  [ "$gateway" -eq 0 ] || kill -KILL "$gateway" 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT
fail() {
  echo "$*" >&2
  cat "$folder"/*.log >&2 || true
  exit 1
}

build_line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$build_line" ] || fail "deploy/system.toml has no build line."
sh -c "$build_line" > "$folder/build.log" 2>&1 || fail "The deploy file's build line failed."
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)

public=$((20000 + $$ % 20000))
settings() {
  printf '{"node":"g","failure_domain":"north","public_address":"127.0.0.1:%s",' "$public"
  printf '"ready_address":"127.0.0.1:%s","store_address":"127.0.0.1:9"}' "$((public + 1))"
}
settings > "$folder/good.json"
echo '{"node":"g","colour":"red"}' > "$folder/bad.json"

"$program" --check-settings "$folder/good.json" || fail "Good settings were refused."
status=0
"$program" "$folder/bad.json" > "$folder/bad.log" 2>&1 || status=$?
[ "$status" -eq 3 ] || fail "Bad settings ended with status $status, but 3 was expected."
grep -q 'key colour' "$folder/bad.log" || fail "The unknown key was not named."

CHESTNUTHEAD_NODE_FILE="$folder/good.json" "$program" > "$folder/gateway.log" 2>&1 &
gateway=$!
for _ in $(seq 200); do
  if answer=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((public + 1))/"); then
    break
  fi
  sleep 0.05
done
[ "$answer" = 503 ] || fail "Without a store the gateway answered $answer to its balancer."
refused=$(curl -s "http://127.0.0.1:$public/x/")
grep -q not_ready <<< "$refused" || fail "A caller was told: $refused"

status=0
"$program" "$folder/good.json" > "$folder/taken.log" 2>&1 || status=$?
[ "$status" -eq 4 ] || fail "A taken port ended with status $status, but 4 was expected."
grep -q public_address "$folder/taken.log" || fail "The taken address was not named."

# A changed file is read again; one with a fault changes nothing.
wait_for() {
  for _ in $(seq 200); do
    ! grep -q "$1" "$folder/gateway.log" || return 0
    sleep 0.05
  done
  fail "The log does not hold: $1"
}
settings | sed 's/}$/,"load_multiple":3,"region":"far"}/' > "$folder/good.json"
kill -HUP "$gateway"
wait_for '"event":"settings_reread","taken":"load_multiple","after_restart":"region"'
settings | sed 's/}$/,"load_multiple":0}/' > "$folder/good.json"
kill -HUP "$gateway"
wait_for '"event":"settings_refused","key":"load_multiple"'

kill -TERM "$gateway"
status=0
wait "$gateway" || status=$?
gateway=0
[ "$status" -eq 0 ] || fail "The planned stop ended with status $status."
grep -q '"event":"stopped"' "$folder/gateway.log" || fail "The stop was not logged."
