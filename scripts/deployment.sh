# Sourced by the other scripts: starts and stops one deployment on loopback.
# shellcheck shell=bash
bin=target/release
pids=()

# Stops everything that was started; also runs on exit.
stop_deployment() {
    for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
}
trap stop_deployment EXIT

# Ids of the first COUNT instances in SETTINGS.
instance_ids() { # SETTINGS COUNT
    sed -n '/instances: \[/,/\]/p' "$1" | grep -o 'id: "[^"]*"' | head -"$2" | cut -d'"' -f2
}

# Starts the stand-ins and the first COUNT daemons of SETTINGS, with any
# further daemon options, and waits until they serve; logs under run/LABEL.
start_deployment() { # SETTINGS LABEL COUNT [DAEMON OPTIONS...]
    local settings=$1 logs=run/$2 count=$3 id
    shift 3
    mkdir -p "$logs"
    "$bin/comfreyhall-standin" --settings "$settings" 2>"$logs/standin.log" &
    pids+=($!)
    sleep 0.3
    for id in $(instance_ids "$settings" "$count"); do
        "$bin/comfreyhalld" --settings "$settings" --instance "$id" "$@" 2>"$logs/$id.log" &
        pids+=($!)
    done
    for _ in $(seq 100); do
        if [ "$("$bin/comfreyhall" --settings "$settings" addresses 2>/dev/null | grep -c ' 127')" -ge "$count" ]; then
            return 0
        fi
        sleep 0.1
    done
    echo "the daemons did not come up; see $logs" >&2
    return 1
}
