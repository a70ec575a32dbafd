#!/usr/bin/env bash
# Runs a script of the second review: starts its program with the run command of the deploy file.
# Usage: run-case-2.sh PROGRAM CASE_FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
program=build/review-2/$1
case=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
if [ ! -x "$program" ] || [ ! -x "${command%% *}" ]; then
    echo "run the build command of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# The program's own processes end with it.
timeout -s KILL 118 "$program" "$command" "$folder" "$case/record.txt" "${TROUBLE:-1}"
verdict=$?
[ "$verdict" -le 2 ] || verdict=2
exit "$verdict"
