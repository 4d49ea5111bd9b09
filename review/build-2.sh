#!/usr/bin/env bash
# Builds the program that the cases 6 to 10 start: target/review_cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standins-2/main.cpp -o target/review_cases.new
mv target/review_cases.new target/review_cases
