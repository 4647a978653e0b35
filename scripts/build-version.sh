#!/usr/bin/env bash
# Builds the gateway of a commit of this repository's history, with the dependencies of that commit, and prints the
# path of the program. Builds are kept by commit outside the checkout; "--remove COMMIT" deletes one.
set -euo pipefail
cd "$(dirname "$0")/.."

fail() {
  echo "build-version: $*" >&2
  exit 1
}

remove=false
if [ "${1:-}" = --remove ]; then
  remove=true
  shift
fi
[ $# -eq 1 ] || fail 'usage: scripts/build-version.sh [--remove] COMMIT'

git rev-parse --git-dir >/dev/null 2>&1 || fail "$PWD has no history, so commit '$1' cannot be built"
id=$(git rev-parse --verify --quiet "$1^{commit}") || fail "unknown commit '$1'"
builds=${XDG_CACHE_HOME:-$HOME/.cache}/coltsfootlead/builds
program=$builds/$id/gateway.cjs

if $remove; then
  rm -rf "${builds:?}/$id"
  exit 0
fi
if [ ! -e "$program" ]; then
  git cat-file -e "$id:platform/main.ts" 2>/dev/null || fail "commit $1 has no gateway"
  mkdir -p "$builds"
  work=$(mktemp -d "$builds/work.XXXXXX")
  trap 'git worktree remove --force "$work/tree" 2>/dev/null || true; rm -rf "$work"; git worktree prune' EXIT
  git worktree add --quiet --detach "$work/tree" "$id" >&2
  (cd "$work/tree" && npm ci --silent --no-audit --no-fund && npm run --silent gateway) >"$work/log" 2>&1 || {
    tail -n 20 "$work/log" >&2
    fail "commit $1 does not build"
  }
  mkdir "$work/done"
  cp "$work/tree/target/gateway.cjs" "$work/done/"
  mv -T "$work/done" "$builds/$id" 2>/dev/null || [ -e "$program" ]
fi
echo "$program"
