#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 6 to 10) into target/review-2, with the standard library alone
# and without a network. The gateway itself comes from the build of deploy/balancer.toml.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
for folder in "$root"/review/{6,7,8,9,10}; do
    [ -f "$folder/main.rs" ] || continue
    n=$(basename "$folder")
    rustc --edition 2021 -C opt-level=2 --crate-name "case$n" -o "$root/target/review-2/case$n" "$folder/main.rs"
done
