#!/usr/bin/env bash
# Case 7: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the deploy file's build and review/build-2.sh. Writes record.txt beside this script.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/release/rudderspindle target/review-2/case7; do
  [ -x "$program" ] || { echo "the case could not run: $program is not built"; exit 2; }
done
exec target/review-2/case7 "$folder/record.txt"
