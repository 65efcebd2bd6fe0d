#!/bin/sh
# Installs the packages, builds with sanitizers and runs all tests.
set -e
cd "$(dirname "$0")/.."
sh scripts/install.sh
sh scripts/build.sh build-asan -Db_sanitize=address,undefined \
	-Db_lundef=false
ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=halt_on_error=1 \
	exec python3 tests/run.py build-asan
