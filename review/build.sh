#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts into review/out, with packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
builds=()
for source in standin/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread -o "out/$(basename "$source" .cpp)" "$source" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
