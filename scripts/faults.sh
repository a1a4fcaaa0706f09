#!/usr/bin/env bash
# Runs the load tool under injected faults against loopback stand-ins and
# seven daemons, for one deployment sample: a quiet run, then faults of the
# platform, of the targets, of both, and of both beside a request that ends
# the engine that begins it and is sent again and again. A fifth of the requests
# must run at most once, a tenth are calls to plain services, a third are
# streamed. Prints load stalls, batch efficiency and broken promises (which must
# all be zero). Stops everything it started, also on failure or Ctrl-C.
#
# usage: scripts/faults.sh [SETTINGS] [SECONDS] [BENCH OPTIONS...]
set -euo pipefail
cd "$(dirname "$0")/.."
sample=${1:-samples/oduya.jsonc}
seconds=${2:-15}
shift $(( $# > 2 ? 2 : $# ))
. scripts/deployment.sh
cargo build --release --locked --quiet
mkdir -p run
for faults in none platform targets mix deadly; do
    settings=$sample
    kind=$faults
    if [ "$faults" = deadly ]; then
        settings=run/deadly.jsonc
        sed 's/deadly_prompt: ""/deadly_prompt: "deadly"/' "$sample" > "$settings"
        kind=mix
    fi
    start_deployment "$settings" "faults-$faults" 7
    "$bin/comfreyhall" --settings "$settings" --actor faults seed >/dev/null
    "$bin/comfreyhall" --settings "$settings" bench --warmup 5 --seconds "$seconds" \
        --adapters 40 --once 0.2 --plain 0.1 --stream 0.33 --faults "$kind" \
        --label "$(basename "$sample" .jsonc)/$faults" "$@"
    stop_deployment
done
