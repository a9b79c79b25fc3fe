#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on the sources that
# changed since the given revision, or on all sources.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cc' '*.h')
[ "${#files[@]}" -gt 0 ] || exit 0
clang-format --dry-run -Werror "${files[@]}"
[ -f build/compile_commands.json ] || scripts/build.sh build
if [ -n "${1:-}" ]; then
  mapfile -t sources < <(git diff --name-only --diff-filter=d "$1" -- '*.cc')
else
  mapfile -t sources < <(git ls-files '*.cc')
fi
[ "${#sources[@]}" -eq 0 ] ||
  printf '%s\n' "${sources[@]}" |
    xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "format and lint clean: ${#files[@]} files, ${#sources[@]} linted"
