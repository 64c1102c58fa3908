#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 into review/standin-3/out/. They need the
# compiler and nlohmann-json, which the deploy file's packages bring.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p out
for source in case_*.cpp; do
    name=${source%.cpp}
    g++ -std=c++20 -O1 -Wall -pthread "$source" -o "out/${name//_/-}"
done
