#!/usr/bin/env bash
# Measures the slopes docs/CAPACITY.md is worked out from, on this machine,
# with the loopback stand-ins of samples/oduya.jsonc (12 engines):
#   1. control cost of an idle daemon as the deployment grows from 3 to 30
#      to 100 daemons, and the time until accepted rules are in force on all;
#   2. the same with the periods meant for a large deployment;
#   3. processor time per routed request and per token, all resident;
#   4. a daemon's memory per adapter record it caches;
#   5. table-service memory per adapter record;
#   6. processor time per at-most-once request.
# Every run is bounded in time; everything started is stopped on exit.
#
# usage: scripts/capacity.sh [WINDOW_SECONDS] [STEPS, as in 456]
set -euo pipefail
cd "$(dirname "$0")/.."
window=${1:-10}
steps=${2:-123456}
. scripts/deployment.sh
cargo build --release --locked --quiet
out=run/capacity
mkdir -p "$out"

# Settings for N daemons and ADAPTERS beside the sample's engines; further
# words replace tuning, as in "heartbeat_ms: 5000".
settings_for() { # N ADAPTERS FILE [TUNING...]
    python3 - "$@" <<'PY'
import re, sys
n, adapters, path, tuning = int(sys.argv[1]), sys.argv[2], sys.argv[3], sys.argv[4:]
text = open("samples/oduya.jsonc").read()
domains = ["ikeja", "lekki", "yaba"]
rows = "".join(
    f'    {{ id: "{domains[i % 3]}-{i // 3 + 1}", domain: "{domains[i % 3]}", listen: "127.0.0.1:{9000 + i}" }},\n'
    for i in range(n))
text = re.sub(r"instances: \[\n.*?\n  \],", "instances: [\n" + rows + "  ],", text, flags=re.S)
text = text.replace("adapters: 3000", f"adapters: {adapters}")
for t in tuning:
    name = t.split(":")[0]
    text = re.sub(rf"    {name}: \S+,\n", "", text)
    text = text.replace("  tuning: {\n", f"  tuning: {{\n    {t},\n")
open(path, "w").write(text)
PY
}

# The mean over the daemons that answered of what they spent.
means() { # LABEL FILE
    python3 - "$@" <<'PY'
import json, sys
rows = json.load(open(sys.argv[2]))
avg = lambda k: sum(r[k] or 0 for r in rows) / len(rows)
line = (f"{sys.argv[1]}: cpu {avg('cpu_pct'):.2f}% of a core, rss {avg('rss_mib'):.1f} MiB, "
        f"control {avg('control_bytes_per_s'):.0f} B/s in {avg('control_calls_per_s'):.1f} calls/s, "
        f"table {avg('table_calls_per_s'):.1f} calls/s")
if avg('requests_per_s') > 1:
    line += f", {avg('requests_per_s'):.1f} req/s, {avg('cpu_ms_per_request'):.3f} cpu ms per request"
print(line + f" (mean of {len(rows)} daemons)")
PY
}

stats() { # SETTINGS FILE
    "$bin/comfreyhall" --json --settings "$1" stats --window "$window" >"$2"
}

idle() { # LABEL N [TUNING...]
    local label=$1 n=$2 file=$out/$1-$2.jsonc
    shift 2
    settings_for "$n" 3000 "$file" "$@"
    start_deployment "$file" "capacity-$label-$n" "$n" --log warn
    sleep 2
    stats "$file" "$out/$label-$n.json"
    means "$label, $n daemons" "$out/$label-$n.json"
    for _ in 1 2 3; do
        "$bin/comfreyhall" --settings "$file" rules apply samples/rules.jsonc --wait
    done
    stop_deployment
}

step1() {
    echo "== 1. idle control cost, sample periods"
    for n in 3 30 100; do idle sample "$n"; done
}

step2() {
    echo "== 2. idle control cost, periods for a large deployment"
    for n in 30 100; do
        idle large "$n" "heartbeat_ms: 5000" "lease_ms: 15000" "follow_ms: 2000" "poll_ms: 1000"
    done
}

step3() {
    echo "== 3. processor time per request and token (12 adapters, all resident)"
    for tokens in 16 240; do
        settings_for 3 3000 "$out/routed.jsonc"
        start_deployment "$out/routed.jsonc" capacity-routed 3 --log warn
        "$bin/comfreyhall" --settings "$out/routed.jsonc" seed >/dev/null
        "$bin/comfreyhall" --settings "$out/routed.jsonc" bench --warmup 8 --seconds "$((window + 4))" \
            --adapters 12 --callers 64 --stream 1 --max-tokens "$tokens" --label "routed-$tokens" \
            >"$out/routed-$tokens.txt" &
        bench=$!
        sleep 10
        stats "$out/routed.jsonc" "$out/routed-$tokens.json"
        wait "$bench"
        means "streamed, $tokens tokens" "$out/routed-$tokens.json"
        stop_deployment
    done
}

step4() {
    echo "== 4. daemon memory per cached adapter record"
    for adapters in 3000 30000; do
        settings_for 1 "$adapters" "$out/cache.jsonc"
        start_deployment "$out/cache.jsonc" capacity-cache 1 --log error
        "$bin/comfreyhall" --settings "$out/cache.jsonc" seed >/dev/null
        # Resolving caches the record; the rule refuses the request after it.
        echo '{ rules: [ { name: "none", set: { admit: false } } ] }' >"$out/none.jsonc"
        "$bin/comfreyhall" --settings "$out/cache.jsonc" rules apply "$out/none.jsonc" --wait >/dev/null
        python3 - "$adapters" <<'PY'
import http.client, json, sys, threading
n, workers = int(sys.argv[1]), 8
def stats():
    c = http.client.HTTPConnection("127.0.0.1", 9000)
    c.request("GET", "/v1/stats")
    return json.load(c.getresponse())
before = stats()
def touch(k):
    c = http.client.HTTPConnection("127.0.0.1", 9000)
    for i in range(k, n, workers):
        body = json.dumps({"model": f"adapter-{i:05}@v1", "prompt": "x"})
        c.request("POST", "/v1/completions", body, {"content-type": "application/json"})
        c.getresponse().read()
threads = [threading.Thread(target=touch, args=(k,)) for k in range(workers)]
[t.start() for t in threads]; [t.join() for t in threads]
after = stats()
grown = (after["rss_kib"] - before["rss_kib"]) * 1024
print(f"{after['adapters_cached']} records cached: rss {before['rss_kib']} -> {after['rss_kib']} KiB, "
      f"{grown / max(after['adapters_cached'], 1):.0f} B per record")
PY
        stop_deployment
    done
}

step5() {
    echo "== 5. table-service memory per adapter record"
    for adapters in 3000 30000; do
        settings_for 1 "$adapters" "$out/table.jsonc"
        "$bin/comfreyhall-standin" --settings "$out/table.jsonc" --only table 2>/dev/null &
        table=$!
        pids+=("$table")
        sleep 0.3
        rss() { awk '/VmRSS/ {print $2}' "/proc/$table/status"; }
        before=$(rss)
        "$bin/comfreyhall" --settings "$out/table.jsonc" seed >/dev/null
        after=$(rss)
        echo "$adapters adapters: table rss $before -> $after KiB, $(( (after - before) * 1024 / adapters )) B per record"
        stop_deployment
    done
}

step6() {
    echo "== 6. at-most-once requests (claim, run, keep), 16 tokens"
    settings_for 3 3000 "$out/once.jsonc"
    start_deployment "$out/once.jsonc" capacity-once 3 --log warn
    "$bin/comfreyhall" --settings "$out/once.jsonc" seed >/dev/null
    "$bin/comfreyhall" --settings "$out/once.jsonc" bench --warmup 8 --seconds "$((window + 4))" \
        --adapters 12 --callers 64 --stream 1 --once 1 --label once >"$out/once.txt" &
    bench=$!
    sleep 10
    stats "$out/once.jsonc" "$out/once.json"
    wait "$bench"
    means "at most once, 16 tokens" "$out/once.json"
    stop_deployment
}

for ((i = 0; i < ${#steps}; i++)); do "step${steps:i:1}"; done
