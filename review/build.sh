#!/usr/bin/env bash
# The stand-ins of the cases are plain modules for Node.js without dependencies; there is nothing to compile.
# Checks that each can be parsed and that the program of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[1-5]/run.mjs; do node --check "$file"; done
[ -s target/gateway.cjs ] || { echo 'target/gateway.cjs is missing: run the build of deploy/system.toml first' >&2; exit 1; }
