#!/bin/sh
# Run from anywhere, after the build of deploy/system.toml and review/build-2.sh. TROUBLE=0: without orders that are carried out late.
# Writes review/7/record.txt: what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
exec node review/7/run.mjs
