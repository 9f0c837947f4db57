#!/usr/bin/env bash
# Runs the linter on all source files, several processes at once.
# Usage: cmake/lint.sh, or cmake/lint.sh LINTER FILE... for one process.
set -euo pipefail
cd "$(dirname "$0")/.."
# A linter that loops must not use up the time of a whole CI run.
limit=15m
if [ $# -gt 0 ]; then
    linter=$1; shift
    log=$(mktemp)
    trap 'rm -f "$log"' EXIT
    status=0
    timeout --kill-after=10s "$limit" "$linter" -p build/release --quiet "$@" \
        >"$log" 2>&1 || status=$?
    if [ "$status" -ne 0 ]; then
        grep -A3 'error:' "$log" || tail -20 "$log"
        echo "$linter ended with status $status (124: after $limit): $*"
        exit 1
    fi
    exit
fi
# Coroutines need a newer linter than the other sources are written for.
coroutines='^src/(gateway|node|store)/|peer_exchange|rhubarbgrade_node'
status=0
printf '%s\0' src/*/*.cpp | grep -zvE "$coroutines" |
    xargs -0 -P "$(nproc)" -n 4 bash cmake/lint.sh clang-tidy || status=1
printf '%s\0' platform/*.cpp src/daemon/rhubarbgrade_node.cpp \
    src/gateway/*.cpp src/node/*.cpp src/peers/peer_exchange.cpp src/store/*.cpp |
    xargs -0 -P "$(nproc)" -n 2 bash cmake/lint.sh clang-tidy-16 || status=1
exit $status
