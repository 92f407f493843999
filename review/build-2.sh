#!/bin/sh
# The stand-ins of cases 4 to 8 are plain programs for Node; nothing is compiled. Checks that Node can read them.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
