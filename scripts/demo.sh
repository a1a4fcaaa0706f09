#!/usr/bin/env bash
# Builds comfreyhall and runs the main job on loopback stand-ins: the
# platform's stand-ins, three daemons in three failure domains, a catalog
# seeded from the sample settings, and the load tool (a warm-up of SECONDS,
# then SECONDS counted), once with the frequency placement policy and once
# with the LRU baseline. Stops everything it started, also on failure or
# Ctrl-C.
#
# usage: scripts/demo.sh [SETTINGS] [SECONDS] [BENCH OPTIONS...]
set -euo pipefail
cd "$(dirname "$0")/.."
settings=${1:-samples/oduya.jsonc}
seconds=${2:-20}
shift $(( $# > 2 ? 2 : $# ))
. scripts/deployment.sh
cargo build --release --locked --quiet
name=$(basename "$settings" .jsonc)
for policy in frequency lru; do
    start_deployment "$settings" "$name-$policy" 3 --policy "$policy"
    "$bin/comfreyhall" --settings "$settings" --actor demo seed
    "$bin/comfreyhall" --settings "$settings" generate adapter-00001@v1 "a narration script for dawn"
    "$bin/comfreyhall" --settings "$settings" bench --warmup "$seconds" --seconds "$seconds" \
        --label "$name/$policy" "$@"
    stop_deployment
done
