#!/usr/bin/env bash
# Measures the slopes docs/CAPACITY.md is worked out from, on this machine,
# with the loopback stand-ins of samples/oduya.jsonc (12 engines):
#   1. control cost of an idle daemon as the deployment grows from 3 to 30
#      to 100 daemons (CPU, memory, control bytes and calls a second);
#   2. processor time per routed request, with every adapter resident;
#   3. table-service memory per adapter record, at 3,000 and 30,000.
# Every run is bounded in time; everything started is stopped on exit.
#
# usage: scripts/capacity.sh [WINDOW_SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
window=${1:-10}
cargo build --release --locked --quiet
bin=target/release
out=run/capacity
mkdir -p "$out"
pids=()
stop() {
    for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
}
trap stop EXIT

# Writes settings for N daemons beside the sample's engines and platform.
settings_for() {
    python3 - "$1" "$2" "$3" <<'PY'
import re, sys
n, adapters, path = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
text = open("samples/oduya.jsonc").read()
domains = ["ikeja", "lekki", "yaba"]
rows = "".join(
    f'    {{ id: "{domains[i % 3]}-{i // 3 + 1}", domain: "{domains[i % 3]}", listen: "127.0.0.1:{9000 + i}" }},\n'
    for i in range(n))
text = re.sub(r"instances: \[\n.*?\n  \],", "instances: [\n" + rows + "  ],", text, flags=re.S)
text = text.replace("adapters: 3000", f"adapters: {adapters}")
open(path, "w").write(text)
PY
}

start() {
    local settings=$1 n=$2
    "$bin/comfreyhall-standin" --settings "$settings" 2>>"$out/standin.log" &
    pids+=($!)
    standin=$!
    sleep 0.3
    grep -o 'id: "[a-z]*-[0-9]*"' "$settings" | cut -d'"' -f2 | head -"$n" | while read -r id; do
        "$bin/comfreyhalld" --settings "$settings" --instance "$id" --log warn 2>>"$out/daemons.log" &
        echo $! >>"$out/pids"
    done
    while read -r p; do pids+=("$p"); done <"$out/pids"
    rm -f "$out/pids"
    for _ in $(seq 100); do
        "$bin/comfreyhall" --settings "$settings" addresses >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "daemons did not come up" >&2
    return 1
}

rss_kib() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

echo "== 1. idle control cost per daemon"
for n in 3 30 100; do
    settings_for "$n" 3000 "$out/n$n.jsonc"
    start "$out/n$n.jsonc" "$n"
    sleep 2
    "$bin/comfreyhall" --json --settings "$out/n$n.jsonc" stats --window "$window" >"$out/idle-$n.json"
    python3 - "$out/idle-$n.json" "$n" <<'PY'
import json, sys
rows = json.load(open(sys.argv[1])); n = sys.argv[2]
avg = lambda k: sum(r[k] for r in rows) / len(rows)
print(f"daemons {n:>3}: cpu {avg('cpu_pct'):.2f}% of a core, rss {avg('rss_mib'):.1f} MiB, "
      f"control {avg('control_bytes_per_s'):.0f} B/s in {avg('control_calls_per_s'):.1f} calls/s (mean per daemon, {len(rows)} answered)")
PY
    stop
done

echo "== 2. processor time per routed request (12 adapters, all resident)"
settings_for 3 3000 "$out/n3.jsonc"
start "$out/n3.jsonc" 3
"$bin/comfreyhall" --settings "$out/n3.jsonc" seed >/dev/null
"$bin/comfreyhall" --settings "$out/n3.jsonc" bench --seconds 5 --adapters 12 --label warm >/dev/null
"$bin/comfreyhall" --settings "$out/n3.jsonc" bench --seconds $((window + 4)) --adapters 12 --callers 96 \
    --label routed >"$out/routed-bench.txt" &
bench=$!
sleep 2
"$bin/comfreyhall" --json --settings "$out/n3.jsonc" stats --window "$window" >"$out/routed.json"
wait "$bench"
cat "$out/routed-bench.txt"
python3 - "$out/routed.json" <<'PY'
import json, sys
rows = json.load(open(sys.argv[1]))
for r in rows:
    print(f"{r['instance']}: {r['requests_per_s']} req/s, cpu {r['cpu_pct']}% of a core, "
          f"{r['cpu_ms_per_request']} cpu ms per request, rss {r['rss_mib']} MiB")
PY
stop

echo "== 3. table-service memory per adapter record"
for adapters in 3000 30000; do
    settings_for 1 "$adapters" "$out/a$adapters.jsonc"
    "$bin/comfreyhall-standin" --settings "$out/a$adapters.jsonc" --only table 2>>"$out/standin.log" &
    table=$!
    pids+=("$table")
    sleep 0.3
    before=$(rss_kib "$table")
    "$bin/comfreyhall" --settings "$out/a$adapters.jsonc" seed >/dev/null
    after=$(rss_kib "$table")
    echo "adapters $adapters: table rss $before -> $after KiB, $(( (after - before) * 1024 / adapters )) B per adapter record"
    stop
done
