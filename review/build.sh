#!/bin/sh
# The stand-ins are in Python and need no build; this checks that they compile.
# The programs under test come from the build command of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
