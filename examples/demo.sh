#!/usr/bin/env bash
# Runs a stand-in platform, two engines, a plain service and three routers as
# separate processes on one machine. Sends a streaming model request, and an
# order twice under one idempotency key; prints the bill and a diagram of the
# requests.
# Usage: examples/demo.sh [BUILD FOLDER]
set -euo pipefail
build=$(realpath "${1:-build/release}")
work=$(mktemp -d)
pids=()
finish() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
           wait; rm -rf "$work"; }
trap finish EXIT

# start NAME COMMAND...: starts COMMAND and waits until it prints its port.
start() {
    local name=$1; shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    for _ in $(seq 200); do
        grep -q '^listening' "$work/$name.out" && return
        sleep 0.05
    done
    echo "$name printed no port in time; its log:"; cat "$work/$name.log"; exit 1
}
port() { awk -v key="${2:-listening}" '$1 == key {print $2}' "$work/$1.out"; }

start platform "$build/tests/standin_platform" --record="$work/platform.rec"
for name in gpu1 gpu2; do
    start $name "$build/tests/standin_engine" --name=$name \
        --record="$work/engine.rec"
done
start orders "$build/tests/standin_service" --record="$work/service.rec"
platform=127.0.0.1:$(port platform)

mkdir "$work/set"
key=$(printf %s demo-key | sha256sum | cut -d' ' -f1)
cat >"$work/set/all.toml" <<TOML
[[customer]]
name = "clerks"
key_sha256 = ["$key"]
prepaid_tokens = 100000
[[service]]
name = "assistant"
kind = "model"
model = "atlas-7b"
version = "assistant-v1"
[[version]]
name = "assistant-v1"
service = "assistant"
[[endpoint]]
name = "gpu1"
version = "assistant-v1"
zone = "athens"
address = "127.0.0.1:$(port gpu1)"
[[endpoint]]
name = "gpu2"
version = "assistant-v1"
zone = "piraeus"
address = "127.0.0.1:$(port gpu2)"
[[service]]
name = "orders"
kind = "plain"
path = "/orders"
version = "orders-v1"
[[version]]
name = "orders-v1"
service = "orders"
[[endpoint]]
name = "orders1"
version = "orders-v1"
zone = "athens"
address = "127.0.0.1:$(port orders)"
TOML

hosts=(a1 a2 p1); zones=(athens athens piraeus)
"$build/rhubarbgrade" --platform=$platform check "$work/set"
"$build/rhubarbgrade" --platform=$platform --author=demo apply "$work/set"

for i in 0 1 2; do
    cat >"$work/${hosts[$i]}.toml" <<TOML
host = "${hosts[$i]}"
zone = "${zones[$i]}"
listen = "127.0.0.1:0"
admin_listen = "127.0.0.1:0"
rpc_listen = "127.0.0.1:0"
platform = "$platform"
TOML
    start "${hosts[$i]}" "$build/rhubarbgraded" --settings="$work/${hosts[$i]}.toml"
done
list=""
for i in 0 1 2; do
    list+="{\"name\":\"${hosts[$i]}\",\"zone\":\"${zones[$i]}\",\"rpc\":\"127.0.0.1:$(port "${hosts[$i]}" rpc)\",\"state\":\"live\"},"
done
curl -sf -X PUT "$platform/hosts" -d "[${list%,}]"
for host in "${hosts[@]}"; do
    for _ in $(seq 200); do
        curl -sf "127.0.0.1:$(port "$host" admin)/readyz" >/dev/null && break
        sleep 0.05
    done
done

echo; echo "== model request through router a1, answered as a stream"
curl -sN "127.0.0.1:$(port a1)/v1/chat/completions" \
    -H "Authorization: Bearer demo-key" -H "Idempotency-Key: demo-1" \
    -d '{"model":"atlas-7b","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"Good day"}]}'
echo "== order through router p1, sent twice with the same idempotency key"
for _ in 1 2; do
    curl -s "127.0.0.1:$(port p1)/orders/7" -H "Authorization: Bearer demo-key" \
        -H "Idempotency-Key: order-7" -d '{"rug":3}'; echo
done

for _ in $(seq 100); do
    "$build/rhubarbgrade" --platform=$platform --json report bills clerks | grep -q request && break
    sleep 0.1
done
echo; echo "== bill, compared with the usage that the engines recorded"
"$build/rhubarbgrade" --platform=$platform report bills clerks "$work/engine.rec"
routers=$(for h in "${hosts[@]}"; do printf "127.0.0.1:%s," "$(port "$h" admin)"; done)
echo; "$build/rhubarbgrade" --platform=$platform status
runs=$(grep -c '"run"' "$work/service.rec" || true)
cat <<PICTURE

== diagram of the requests
  caller --stream--> a1 --reserve--> ledger of a1 ==replicated==> a2
                      |--request---> $(grep -h '"start"' "$work/engine.rec" | sed 's/.*"engine":"\([^"]*\)".*/\1/')
                      \`--bill------> platform (once)
  caller --order x2-> p1 --claim---> platform --> orders ran it $runs time(s)
PICTURE
