#!/usr/bin/env bash
# A runner that starts again as another kind gets work for its former kind. See claim.txt. Build first: the deploy file's line, then review/build-2.sh.
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/eelgrasstide ] && [ -x target/review-2 ] || { echo "build first: the deploy file's build and review/build-2.sh"; exit 2; }
exec target/review-2 label review/10
