#!/usr/bin/env bash
# Checks format and names of the given sources.  Usage: lint.sh BUILD FILES...
set -u
build=$1
shift
"$(dirname "$0")/install_packages.sh" clang-format clang-tidy || exit 1
clang-format --dry-run --Werror "$@" || exit 1
# A finding makes clang-tidy, and with it xargs, end with an error.
printf '%s\n' "$@" | grep '\.cc$' |
  xargs -P "$(nproc)" -n 3 clang-tidy --quiet -p "$build" 2>/dev/null
status=${PIPESTATUS[2]}
[ "$status" = 0 ] && echo "lint: clean"
exit "$status"
