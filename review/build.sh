#!/usr/bin/env bash
# Builds the stand-ins and the runner of the review cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand_ins/Cargo.toml --target-dir target/review
