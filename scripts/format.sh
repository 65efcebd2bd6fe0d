#!/bin/sh
# Formats all C sources except generated ones; arguments go to clang-format.
cd "$(dirname "$0")/.." || exit 1
git ls-files --cached --others --exclude-standard '*.c' '*.h' |
	grep -v pb-c | xargs clang-format -i "$@"
