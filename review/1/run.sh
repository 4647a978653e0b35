#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")" || exit 2
exec node run.mjs
