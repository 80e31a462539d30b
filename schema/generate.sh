#!/bin/sh
# Regenerates internal/wire from schema/*.proto. Needs protoc 3.21 or newer.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && GOBIN="$bin" go install github.com/twitchtv/twirp/protoc-gen-twirp google.golang.org/protobuf/cmd/protoc-gen-go)
PATH="$bin:$PATH" protoc -I schema \
  --go_out=. --go_opt=module=github.com/eelgrasstide/eelgrasstide \
  --twirp_out=. --twirp_opt=module=github.com/eelgrasstide/eelgrasstide \
  schema/*.proto
