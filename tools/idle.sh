#!/usr/bin/env bash
# Measures the processor time and the resident memory of idle entry instances. It
# starts ENTRIES entry instances (9 by default) and 50 targets as separate processes,
# and measures for SECONDS (30 by default).
# Usage: tools/idle.sh [ENTRIES] [SECONDS]
set -euo pipefail
entries=${1:-9}
seconds=${2:-30}
top=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
(cd "$top" && go build -o "$dir" ./cmd/cranberrypick ./cmd/cranstandin)
cd "$dir"
trap 'kill $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$dir"' EXIT

./cranstandin platform --listen 127.0.0.1:7500 > platform.out &
sleep 0.5
for i in $(seq 50); do
  ./cranstandin target --listen 127.0.0.1:0 --id "t$i" --slots 8 --connections 64 \
    --platform http://127.0.0.1:7500 --domain "rack$((i / 4))" --data-centre dc1 \
    --pool "p$(((i - 1) / 10))" > "t$i.out" &
done
pids=()
for n in $(seq "$entries"); do
  cat > "e$n.toml" <<T
id = "e$n"
dataCentre = "dc1"
listen = "127.0.0.1:0"
peerListen = "127.0.0.1:0"
adminListen = "127.0.0.1:$((7600 + n))"
platform = "http://127.0.0.1:7500"
T
  ./cranberrypick serve --settings "e$n.toml" > "e$n.out" 2>&1 &
  pids+=($!)
done
pools=$(for p in 0 1 2 3 4; do printf '{"name":"p%d","instances":10},' $p; done)
services=$(for p in 0 1 2 3 4; do printf '{"name":"s%d","pool":"p%d","maxUnavailable":2,"maxDurationMs":2000,"maxQueue":100},' $p $p; done)
printf '{"name":"idle","spare":"office","pools":[%s{"name":"office","instances":0}],"services":[%s],"prices":{"move":1,"idleSecond":1,"lateRequest":1}}' \
  "$pools" "${services%,}" > config.json
sleep 3
./cranberrypick publish --entry http://127.0.0.1:7601 --wait config.json
sleep 8

# ticks prints the processor time of each entry instance in clock ticks of 10 ms.
ticks() { for p in "${pids[@]}"; do awk '{print $14 + $15}' "/proc/$p/stat"; done; }
before=$(ticks)
sleep "$seconds"
after=$(ticks)
paste <(printf '%s\n' "$before") <(printf '%s\n' "$after") |
  awk -v s="$seconds" '{printf "entry %d: %.2f%% of a core\n", NR, ($2 - $1) / s}'
for p in "${pids[@]}"; do awk '/VmRSS/ {printf "resident %d kB\n", $2}' "/proc/$p/status"; done | sort | uniq -c
