#!/bin/sh
# Runs a case: run-case.sh PROGRAM RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out; SEED selects the random numbers.
record=$2
review=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$review/.." && pwd)
program="$review/bin/$1"
rm -f "$record"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/pearfork-gateway" ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build.sh" | tee "$record"
    exit 2
fi
scratch=$(mktemp -d) || exit 2
# Ends what is left, also if the program was interrupted: its hosts are named in *.pid.
clean() {
    for file in "$scratch"/*.pid; do
        [ -f "$file" ] || continue
        pid=$(cat "$file")
        if grep -q pearfork-gateway "/proc/$pid/cmdline" 2>/dev/null; then kill -9 "$pid"; fi
    done
    rm -rf "$scratch"
}
trap clean EXIT
trap 'exit 2' INT TERM
timeout -k 2 116 "$program" "$root" "$scratch" "$record"
code=$?
case $code in
    0 | 1 | 2) exit $code ;;
    *) echo "the program ended with $code"; exit 2 ;;
esac
