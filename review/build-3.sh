#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -tags review3 -o target/review3/standin3 ./review/standin3
