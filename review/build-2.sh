#!/bin/sh
# The stand-ins of cases 4 to 8 are plain Python; this checks that they load.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.dont_write_bytecode = True; import stand_2'
