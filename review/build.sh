#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts into review/out, with packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in standin/*.cc; do
    g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread -o "out/$(basename "$source" .cc)" "$source" &
done
wait
