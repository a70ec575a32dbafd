#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. Needs the packages of the deploy file, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
pids=()
for source in http record store workers site; do
    g++ -std=c++20 -O2 -Wall -Wextra -c "review/standins/$source.cpp" -o "$out/$source.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for folder in review/[1-5]; do
    [ -f "$folder/case.cpp" ] || continue
    g++ -std=c++20 -O2 -Wall -Wextra "$folder/case.cpp" "$out"/{http,record,store,workers,site}.o \
        -o "$out/case-$(basename "$folder")" -pthread
done
