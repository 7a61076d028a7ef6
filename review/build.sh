#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript that Node.js runs as it is; this checks that all of it can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
	node --check "$file"
done
