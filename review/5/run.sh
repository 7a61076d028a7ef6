#!/usr/bin/env bash
cd "$(dirname "$0")" && exec env TROUBLE="${TROUBLE:-1}" node case.mjs
