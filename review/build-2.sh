#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p out
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o out/review-cases review_cases.cpp
