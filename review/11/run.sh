#!/usr/bin/env bash
# All hosts are restarted while the store gives no answer. TROUBLE=0: neither; kill or outage: one of the two.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review3/standin3 ] && [ -x target/eelgrasstide ] || { echo "build first: the deploy file's line and review/build-3.sh" >&2; exit 2; }
exec target/review3/standin3 restart target/eelgrasstide "$here/record.txt"
