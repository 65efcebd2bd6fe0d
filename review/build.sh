#!/bin/sh
# The stand-ins are plain Python and need no build: this checks that they load.
set -eu
cd "$(dirname "$0")"
for file in stand.py */case.py; do
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
