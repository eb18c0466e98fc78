#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They use the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in foreign twice memory; do
    rustc --edition 2021 -O -o "bin/$case" "standins/$case.rs"
done
