#!/usr/bin/env bash
# Builds comfreyhall and runs the main job on loopback stand-ins: the
# platform's stand-ins, three daemons in three failure domains, a catalog
# seeded from the sample settings, and the load tool (a warm-up of
# SECONDS, then SECONDS counted), once with the
# frequency placement policy and once with the LRU baseline. Stops
# everything it started, also on failure or Ctrl-C.
#
# usage: scripts/demo.sh [SETTINGS] [SECONDS] [BENCH OPTIONS...]
set -euo pipefail
cd "$(dirname "$0")/.."
settings=${1:-samples/oduya.jsonc}
seconds=${2:-20}
shift $(( $# > 2 ? 2 : $# ))
cargo build --release --locked --quiet
bin=target/release
logs=run/$(basename "$settings" .jsonc)
mkdir -p "$logs"
pids=()
stop() {
    for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
}
trap stop EXIT
wait_up() {
    for _ in $(seq 100); do
        "$bin/comfreyhall" --settings "$settings" addresses >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "the daemons did not come up; see $logs" >&2
    return 1
}
# The three daemons, one per failure domain: the first three instances.
daemons=$(grep -o 'id: "[^"]*-1"' "$settings" | head -3 | cut -d'"' -f2)
for policy in frequency lru; do
    "$bin/comfreyhall-standin" --settings "$settings" 2>"$logs/standin-$policy.log" &
    pids+=($!)
    sleep 0.3
    for id in $daemons; do
        "$bin/comfreyhalld" --settings "$settings" --instance "$id" --policy "$policy" \
            2>"$logs/$id-$policy.log" &
        pids+=($!)
    done
    wait_up
    "$bin/comfreyhall" --settings "$settings" --actor demo seed
    "$bin/comfreyhall" --settings "$settings" generate adapter-00001@v1 "a narration script for dawn"
    "$bin/comfreyhall" --settings "$settings" bench --warmup "$seconds" --seconds "$seconds" --label "$policy" "$@"
    stop
done
