#!/usr/bin/env bash
# Generates docs/commands.md from the --help output of each command. The optional
# argument is the path of chestnutctl.
set -euo pipefail
control=${1:-build/bin/chestnutctl}

cat <<'INTRODUCTION'
# The commands of chestnutctl

This page is printed by `Utilities/command-pages.sh`; a test compares it with the
program. How the commands are used together is told in OPERATIONS.md.

Most commands need a fleet file, which says where the platform and the nodes'
status ports are:

    {"platform_address": "10.0.0.2:8080",
     "nodes": {"router-1": "10.0.0.3:7101", "agent-1": "10.0.0.4:7101"}}

INTRODUCTION
printf '    %s\n' "chestnutctl --help" ""
"$control" --help | sed -e 's/^/    /' -e 's/ *$//'
"$control" --help | sed -n 's/^  \([a-z-]*\)  .*/\1/p' | while read -r name; do
  printf '\n## %s\n\n' "$name"
  "$control" "$name" --help | sed -e 's/^/    /' -e 's/ *$//'
done
