#!/usr/bin/env bash
# Builds the gateway with the build command of the deploy file and starts it with
# valid settings, with invalid settings, and on a port that is already in use. Also
# tests reloading of the settings on SIGHUP and a graceful stop.
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

build_command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$build_command" ] || fail "deploy/system.toml has no build command."
sh -c "$build_command" > "$folder/build.log" 2>&1 || fail "The build command failed."
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)

# Two ports below those that the kernel gives to outgoing connections, from 32768 on.
public=$((20000 + $$ % 6000 * 2))
print_settings() {
  printf '{"node":"g","failure_domain":"north","public_address":"127.0.0.1:%s",' "$public"
  printf '"ready_address":"127.0.0.1:%s","store_address":"127.0.0.1:9"}' "$((public + 1))"
}
print_settings > "$folder/good.json"
echo '{"node":"g","colour":"red"}' > "$folder/bad.json"

"$program" --check-settings "$folder/good.json" || fail "Valid settings were rejected."
status=0
"$program" "$folder/bad.json" > "$folder/bad.log" 2>&1 || status=$?
[ "$status" -eq 3 ] || fail "Invalid settings: exit status $status, expected 3."
grep -q 'key colour' "$folder/bad.log" || fail "The error message does not name the unknown key."

CHESTNUTHEAD_NODE_FILE="$folder/good.json" "$program" > "$folder/gateway.log" 2>&1 &
gateway=$!
for _ in $(seq 200); do
  if answer=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((public + 1))/"); then
    break
  fi
  sleep 0.05
done
[ "$answer" = 503 ] || fail "Without a store, readiness was $answer, expected 503."
refused=$(curl -s "http://127.0.0.1:$public/x/")
grep -q not_ready <<< "$refused" || fail "Expected not_ready, but a caller received: $refused"

status=0
"$program" "$folder/good.json" > "$folder/taken.log" 2>&1 || status=$?
[ "$status" -eq 4 ] || fail "Port in use: exit status $status, expected 4."
grep -q public_address "$folder/taken.log" || fail "The error message does not name public_address."

# SIGHUP reloads the settings file; an invalid file is rejected as a whole.
wait_for() {
  for _ in $(seq 200); do
    ! grep -q "$1" "$folder/gateway.log" || return 0
    sleep 0.05
  done
  fail "Not found in the log: $1"
}
print_settings | sed 's/}$/,"load_multiple":3,"region":"far"}/' > "$folder/good.json"
kill -HUP "$gateway"
wait_for '"event":"settings_reread","taken":"load_multiple","after_restart":"region"'
print_settings | sed 's/}$/,"load_multiple":0}/' > "$folder/good.json"
kill -HUP "$gateway"
wait_for '"event":"settings_refused","key":"load_multiple"'

kill -TERM "$gateway"
status=0
wait "$gateway" || status=$?
gateway=0
[ "$status" -eq 0 ] || fail "The graceful stop ended with exit status $status."
grep -q '"event":"stopped"' "$folder/gateway.log" || fail "The stop was not logged."
