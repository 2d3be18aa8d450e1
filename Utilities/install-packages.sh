#!/usr/bin/env bash
# Installs those packages of packages.txt that are missing.
set -euo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
mapfile -t required < "$here/packages.txt"
missing=()
for package in "${required[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -q --no-install-recommends "${missing[@]}"
