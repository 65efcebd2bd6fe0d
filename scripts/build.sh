#!/bin/sh
# Builds into directory $1; further arguments are passed to meson setup.
set -e
dir=$1
shift
[ -d "$dir" ] || meson setup "$dir" "$@" >/dev/null
if ! out=$(ninja -C "$dir" 2>&1); then
	echo "$out"
	exit 1
fi
