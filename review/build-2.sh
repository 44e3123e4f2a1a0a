#!/usr/bin/env bash
# The stand-ins of cases 6 and up are Python programs of the standard library,
# and the daemons come from the build of the deploy file: nothing is compiled.
set -eu
cd "$(dirname "$0")"
python3 -B -c 'import ast, sys; [ast.parse(open(name).read()) for name in sys.argv[1:]]' \
  harness-2/*.py [679]/*.py 10/*.py
