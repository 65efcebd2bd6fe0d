#!/bin/sh
# Formats all sources but the generated ones.
cd "$(dirname "$0")/.." || exit 1
git ls-files --cached --others --exclude-standard '*.c' '*.h' |
	grep -v pb-c | xargs clang-format -i "$@"
