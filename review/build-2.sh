#!/usr/bin/env bash
# Builds the stand-ins of the second review into build/review-2. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
out=../../build/review-2
mkdir -p "$out"
common=(http.cpp relay.cpp store.cpp worker.cpp deployment.cpp)
for program in rolling_restart serving_tasks silent_channels withdrawn_jobs; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "${common[@]}" "$program.cpp" -o "$out/${program//_/-}"
done
