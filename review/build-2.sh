#!/bin/sh
# The stand-ins of the cases 7 to 10 are plain JavaScript in review/lib-2, so that there is nothing to compile. This checks
# that they load, and that the program of the deploy file has been built.
set -e
cd "$(dirname "$0")/.."
test -f target/tarragond.cjs || { echo 'build the program of deploy/system.toml first' >&2; exit 1; }
for file in review/lib-2/*.mjs review/8/*.mjs review/9/*.mjs review/7/run.mjs review/10/run.mjs; do
	[ -f "$file" ] && node --check "$file"
done
