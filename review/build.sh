#!/bin/sh
# The stand-ins are plain modules of Node.js: nothing has to be built, only checked.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [0-9]/case.mjs; do
  node --check "$file" || exit 1
done
