#!/usr/bin/env bash
# The stand-ins that the scripts start are plain modules for Node and need no compiling: this checks
# that Node reads each of them.
set -euo pipefail
cd "$(dirname "$0")"
for module in *.mjs */*.mjs; do
  node --check "$module"
done
