#!/bin/sh
# Builds the stand-ins of the cases (clients, workers, discovery, the platform). They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --quiet --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
