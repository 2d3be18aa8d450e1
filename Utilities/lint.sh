#!/usr/bin/env bash
# Checks the format of all sources, then runs clang-tidy on them, or only on the
# source files that are given as arguments. Needs a configured build folder "build".
#
# clang-tidy spends most of its time on headers, so the sources of a target are
# linted in unity groups, which parse shared headers only once. A group whose
# sources do not compile together is linted file by file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
git ls-files '*.h' '*.cxx' | xargs clang-format --dry-run --Werror
if [ $# -gt 0 ]; then
  exec clang-tidy -quiet -p build "$@"
fi

groups=build-lint
cmake -S . -B "$groups" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_UNITY_BUILD=ON \
  -DCMAKE_UNITY_BUILD_BATCH_SIZE=8 -DCMAKE_EXPORT_COMPILE_COMMANDS=ON > /dev/null

# Unity files include sources, which bugprone-suspicious-include reports. The check
# stays enabled for all other files.
find "$groups" -path '*/Unity/*.cxx' -exec sed -i \
  's|^#include|// NOLINTNEXTLINE(bugprone-suspicious-include)\n#include|' {} +

# Lints one file of the unity build; prints the output only on failure.
lint_group() {
  local group=$1 output members
  if output=$(clang-tidy -quiet -p build-lint "$group" 2>&1); then
    return 0
  fi
  if grep -q 'clang-diagnostic-' <<< "$output" && grep -q '/Unity/' <<< "$group"; then
    mapfile -t members < <(sed -n 's/^#include "\(.*\)"$/\1/p' "$group")
    clang-tidy -quiet -p build "${members[@]}" 2>&1 | { grep -v 'warnings generated' || true; }
    return
  fi
  printf '%s\n' "$output"
  return 1
}
export -f lint_group
export SHELLOPTS

sed -n 's/^ *"file": "\(.*\)",\{0,1\}$/\1/p' "$groups/compile_commands.json" \
  | sort -u | xargs -P "$(nproc)" -I '{}' bash -c 'lint_group "$1"' lint '{}'
