#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into review/standins-2/bin.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p bin
for source in *.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -pthread -I. "$source" -o "bin/${source%.cpp}"
done
