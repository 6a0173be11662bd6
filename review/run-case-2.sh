#!/usr/bin/env bash
# Plays one case with the stand-ins: run-case-2.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
case=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
standin=target/review-2/standin
if [ ! -x "$standin" ] || [ ! -x target/release/chestnutdrift-platform ]; then
    echo "build first: the command of deploy/system.toml, and review/build-2.sh" >&2
    exit 2
fi
temp=$(mktemp -d)
# The stand-in ends what it started; this ends what is left if it was cut off itself.
finish() {
    if [ -f "$temp/pids" ]; then
        while read -r pid; do
            if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/release/chestnutdrift-platform" ]; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$temp/pids"
    fi
    rm -rf "$temp"
}
trap finish EXIT
timeout --signal=KILL 115 "$standin" "$case" "$folder" "$temp" "${TROUBLE:-1}"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
