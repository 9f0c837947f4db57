#!/bin/bash
# Needs the build of deploy/system.toml and review/build-2.sh. TROUBLE=0: without
# the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/system.toml | head -n 1)
case_program="review/standins-2/bin/case$(basename "$here")"
[ -x "$program" ] && [ -x "$case_program" ] || exit 2
timeout -k 2 115 "$case_program" "$here/record.txt" "$program"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
