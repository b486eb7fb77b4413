#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They need the standard library only.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-3 &&
    exec rustc --edition 2024 -O -o target/review-3/review-3 review/standin-3/main.rs
