#!/bin/sh
# Installs the packages, builds, and runs a small deployment on loopback.
set -e
cd "$(dirname "$0")/.."
sh scripts/install.sh
sh scripts/build.sh build
exec python3 scripts/demo.py
