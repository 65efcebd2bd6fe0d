#!/bin/sh
# Installs the Debian packages needed to build, test and lint.
set -e
packages="gcc make ninja-build meson pkg-config python3 git
libapr1-dev libaprutil1-dev libprotobuf-c-dev protobuf-c-compiler
libhttp-parser-dev libcurl4-openssl-dev libargtable2-dev liblog4c-dev check
libjansson-dev libxxhash-dev zlib1g-dev librandom123-dev clang clang-format clang-tidy
cppcheck codespell scdoc gnuplot-nox libclang-rt-14-dev"
missing=
for package in $packages; do
	dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
log=$(mktemp)
if ! { apt-get update && DEBIAN_FRONTEND=noninteractive \
	apt-get install -y $missing; } >"$log" 2>&1; then
	cat "$log"
	exit 1
fi
rm -f "$log"
