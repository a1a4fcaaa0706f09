#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it does the same without the disruption. Writes record.txt beside itself.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
standins=target/review/release/review-standins
if [ ! -x "$standins" ] || [ ! -x target/release/comfreyhalld ]; then
    echo "build the deploy file's programs and review/build.sh first" >&2
    exit 2
fi
exec "$standins" 1 "$here"
