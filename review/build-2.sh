#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review, target/review-2. Run it after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review2 -o target/review-2 ./review/standin2
