#!/bin/sh
# Installs, builds, and runs a whole small deployment once, on loopback.
set -e
cd "$(dirname "$0")/.."
sh scripts/install.sh
sh scripts/build.sh build
exec python3 scripts/demo.py
