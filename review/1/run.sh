#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs the same without
# the disruption. What was sent, answered and run is written to record.txt beside this script.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec sh "$here/../run-case.sh" foreign "$here/record.txt"
