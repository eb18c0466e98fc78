#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption
# out. What was sent, answered and run is in record.txt beside this script.
set -um
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/case9
for needed in "$program" "$root/target/release/pearfork-gateway"; do
    if [ ! -x "$needed" ]; then
        echo "$needed is missing: run the build of deploy/balancer.toml and review/build-2.sh" | tee "$here/record.txt"
        exit 2
    fi
done
# A process group of its own, of which nothing is left at the end.
"$program" "$here" "$root" &
group=$!
trap 'kill -KILL -- -"$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
