#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs only the Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/standin
