#!/bin/sh
# The stand-ins of the cases are plain modules that Node runs as they are; this checks that each of them loads.
cd "$(dirname "$0")" || exit 1
for module in lib/*.mjs [123]/*.mjs; do
  [ -e "$module" ] || continue
  node --check "$module" || exit 1
done
