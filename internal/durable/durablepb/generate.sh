#!/bin/sh
# SPDX-License-Identifier: MIT
# generate.sh writes durable.pb.go and durable.twirp.go into the given folder, or into its own by default.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
out=${1:-$here}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
cd "$here"
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$bin:$PATH" protoc --proto_path="$here" --go_out="$out" --go_opt=paths=source_relative --twirp_out="$out" --twirp_opt=paths=source_relative durable.proto
