#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
TMPDIR=$(mktemp -d) && export TMPDIR || exit 2
trap 'rm -rf "$TMPDIR"' EXIT
timeout --kill-after=2 115 "$here/../bin/case2" "$here/../.." "$here"
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
