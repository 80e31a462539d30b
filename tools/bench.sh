#!/usr/bin/env bash
# Prints the cost of a step of the planner in the working tree beside that of an earlier commit, both
# from this run: time, bytes and allocations of one step, and the ratio of the times.
#   tools/bench.sh [COMMIT]
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:-a5ad350}
steps=200x
before=$(mktemp -d)
trap 'git worktree remove --force "$before"' EXIT
git worktree add --quiet --detach "$before" "$commit"
# The load model reaches the scheduler through its exported functions, which both have.
mkdir -p "$before/internal/loadmodel"
cp internal/loadmodel/*.go "$before/internal/loadmodel/"
measure() { (cd "$1" && go test ./internal/loadmodel -run '^$' -bench BenchmarkStep -benchtime "$steps") | awk '/^BenchmarkStep/ {sub(/-[0-9]+$/, "", $1); print $1, $3, $5, $7}'; }
measure "$before" > "$before/before.txt"
measure . > "$before/after.txt"
echo "name, then for $commit and the working tree: ns, bytes and allocations of a step; ratio of the times"
join "$before/before.txt" "$before/after.txt" | awk '{printf "%-32s %10d %9d %6d   %10d %9d %6d   %.1f\n", $1, $2, $3, $4, $5, $6, $7, $2/$5}'
