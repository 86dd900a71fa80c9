#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs no network and no package: only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/standins-2/case*.rs; do
  rustc --edition 2024 -C opt-level=2 -o "target/review-2/$(basename "$case" .rs)" "$case"
done
