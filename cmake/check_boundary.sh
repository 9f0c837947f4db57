#!/usr/bin/env bash
# Checks that names of the platform's protocol occur only in platform/, that the
# host daemon's folders include each other only as CONTRIBUTING.md allows, and
# that platform/ includes no private headers.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
names='"(Request-Id|Deadline-Ms|Prefix-Hash|Response-Signature|Tenant-Id|Expect-Instance|Replica-Load|Not-Executed|Token-Usage|Request-Priority|Server-Limit|Server-Brittle|Kv-[A-Z])|api/objects|trafficSplit|pathPrefix|targetLatencyMs|apiKeys|coldRemainingMs|storeRevision|waitMs|rollouts'
if grep -rnE "$names" src include --include='*.cpp' --include='*.hpp'; then
    echo "names of the platform's protocol are used outside platform/" >&2
    status=1
fi
allow() { # FOLDER PATTERN: includes of src/FOLDER must match PATTERN
    local found
    found=$(grep -hnoE '#include "\.\./[a-z]+/' "src/$1"/*.[ch]pp |
        grep -vE "\.\./($2)/" || true)
    if [ -n "$found" ]; then
        echo "src/$1 has includes that are not allowed: $found" >&2
        status=1
    fi
}
allow store 'none'
allow peers 'store'
allow gateway 'store'
allow node 'gateway|peers|store'
if grep -rn '#include "\.\./src\|#include <src' platform; then
    echo "platform/ includes the product's private headers" >&2
    status=1
fi
exit $status
