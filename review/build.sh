#!/usr/bin/env bash
# Builds the stand-in program that the cases start: target/review_standin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standins/main.cpp -o target/review_standin.new
mv target/review_standin.new target/review_standin
