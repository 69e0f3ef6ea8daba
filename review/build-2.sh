#!/bin/sh
# Builds the stand-ins of the scripts of the second review, with the toolchain alone: no package is used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 4 5 6 7 8; do
    if [ -f "review/$case/case.rs" ]; then
        rustc --edition 2024 -O -A dead_code -o "target/review-2/case-$case" "review/$case/case.rs"
    fi
done
