#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3. Needs only
# packages of the deploy file (g++, nlohmann-json3-dev).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in store replica overspend release lost_watch comment poison; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread \
        -o "target/review-3/$name" "review/standins-3/$name.cpp"
done
