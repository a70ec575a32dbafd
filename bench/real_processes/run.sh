#!/usr/bin/env bash
# Plays real daemons with stand-in workers: run.sh [DAEMON], by default the program of the release preset.
# Prints the record. Exits with 1 if a job was LOST, 2 if the play couldn't run.
set -euo pipefail
cd "$(dirname "$0")/../.."
program=${1:-build/release/anvilmoor-platform}
review/build.sh
out=target/real_processes
mkdir -p "$out"
g++ -std=c++20 -O2 -Wall -Wextra bench/real_processes/gang_beside_free_room.cpp \
    target/review/{http,record,store,workers,site}.o -o "$out/gang_beside_free_room" -pthread
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
export WORK CASE="$WORK" COMMAND="$program --metrics_port=9464"
code=0
timeout -k 5 60 "$out/gang_beside_free_room" || code=$?
cat "$WORK/record.txt"
exit "$code"
