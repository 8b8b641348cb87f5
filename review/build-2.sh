#!/usr/bin/env bash
# What the scripts of review/4 and up start beside the project's processes are plain modules for Node, which need
# no build; this checks that Node reads them. The project's processes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs [4-8]/*.mjs; do node --check "$file"; done
