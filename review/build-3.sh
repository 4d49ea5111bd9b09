#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. They need the compiler alone.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/build-review-3"
"${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$root/build-review-3/standins" "$root/review/standins-3/main.cpp"
