#!/usr/bin/env bash
# Plays one case: run-case.sh NUMBER. Called by review/NUMBER/run.sh.
set -u
cd "$(dirname "$0")/.." || exit 2
program="target/review/case-$1"
[ -x "$program" ] && [ -x target/anvilmoor-platform ] || { echo "run the deploy file's build and review/build.sh first" >&2; exit 2; }
# The command of the role in the deploy file.
COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
CASE="review/$1"
WORK=$(mktemp -d) || exit 2
export COMMAND CASE WORK
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 "$program"
code=$?
if [ -n "${KEEP:-}" ]; then echo "$WORK"; else rm -rf "$WORK"; fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
