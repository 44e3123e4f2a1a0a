#!/usr/bin/env bash
# Runs clang-format and clang-tidy on the given source files.
# Usage: lint.sh BUILD FILES...
set -u
build=$1
shift
"$(dirname "$0")/install_packages.sh" clang-format clang-tidy || exit 1
clang-format --dry-run --Werror "$@" || exit 1
# clang-tidy exits with an error on a finding, and xargs passes that on.
printf '%s\n' "$@" | grep '\.cc$' |
  xargs -P "$(nproc)" -n 3 clang-tidy --quiet -p "$build" 2>/dev/null
status=${PIPESTATUS[2]}
[ "$status" = 0 ] && echo "lint: clean"
exit "$status"
