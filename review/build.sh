#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only; the program under test is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/case*.rs; do
  rustc --edition 2024 -O -o "bin/$(basename "$source" .rs)" "$source"
done
