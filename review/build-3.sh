#!/usr/bin/env bash
# Builds what the scripts of the third review start. Their stand-ins in lib-3 are plain JavaScript without dependencies, so it only
# checks that each can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
	node --check "$file"
done
