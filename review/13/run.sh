#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 runs
# it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --kill-after=5 115 target/review-3/lost_watch review/13
