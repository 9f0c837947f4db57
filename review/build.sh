#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Run the build line of the deploy
# file first: the scripts start target/rhubarbgrade_node.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j4
