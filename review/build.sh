#!/bin/sh
# Builds the stand-ins of the cases. They are Python of the standard library, so this
# checks that they compile and that the Python of the deploy file is new enough.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in standin/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
