#!/bin/sh
# SPDX-License-Identifier: MIT
# generate.sh writes cluster.pb.go and cluster.twirp.go into the folder given, or beside itself.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
out=${1:-$here}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
cd "$here"
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$bin:$PATH" protoc --proto_path="$here" --proto_path="$here/../../wire/wirepb" --go_out="$out" --go_opt=paths=source_relative --twirp_out="$out" --twirp_opt=paths=source_relative cluster.proto
