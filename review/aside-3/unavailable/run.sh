#!/usr/bin/env bash
# A runner crashes, and an urgent job comes 5 s later. TROUBLE=0: the runner does not crash.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../../.." || exit 2
[ -x target/review3/standin3 ] && [ -x target/eelgrasstide ] || { echo "build first: the deploy file's line and review/build-3.sh" >&2; exit 2; }
exec target/review3/standin3 unavailable target/eelgrasstide "$here/record.txt"
