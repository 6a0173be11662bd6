#!/bin/sh
# run-case.sh NUMBER NAME: runs a case and writes review/NUMBER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/release/chestnutdrift-platform ]; then
    echo 'build the deploy file and run review/build.sh first' >&2
    exit 2
fi
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER
finish() {
    # The program ends what it started; this is for a program that was killed itself.
    for pid in $(cat "$REVIEW_FOLDER/pids" 2>/dev/null); do
        if grep -qsF "$REVIEW_FOLDER" "/proc/$pid/environ"; then kill -9 "$pid"; fi
    done
    rm -rf "$REVIEW_FOLDER"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review/standin "$2" "review/$1/record.txt"
