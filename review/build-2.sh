#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use the standard library alone; no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O "$source" -o "target/review-2/$name"
done
