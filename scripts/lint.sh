#!/bin/sh
# Runs the formatter and linters; prints their findings and fails on any.
cd "$(dirname "$0")/.." || exit 1
fail=0
sources=$(git ls-files '*.c' '*.h' | grep -v pb-c)
core=$(git ls-files '*.c' | grep -v pb-c)

sh scripts/format.sh --dry-run --Werror || fail=1
cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
	--enable=warning,performance,portability \
	--suppress=missingIncludeSystem --suppress=unknownMacro \
	--suppress=preprocessorErrorDirective:wire.pb-c.h \
	--suppress=ctunullpointer \
	-D_GNU_SOURCE $core || fail=1
sh scripts/build.sh build || exit 1
printf '%s\n' $core | xargs -P 4 -n 4 clang-tidy --quiet -p build \
	2>/dev/null >"${TMPDIR:-/tmp}/tidy.$$" || fail=1
cat "${TMPDIR:-/tmp}/tidy.$$"
rm -f "${TMPDIR:-/tmp}/tidy.$$"
# TE is the name of an HTTP header.
codespell --quiet-level=3 --ignore-words-list=te $sources $(git ls-files '*.md' '*.py' '*.sh' \
	'*.scd') || fail=1
exit $fail
