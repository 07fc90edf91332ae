#!/bin/sh
# SPDX-License-Identifier: MIT
# generate.sh writes handover.pb.go into the given folder, or beside itself.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
out=${1:-$here}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
cd "$here"
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go
PATH="$bin:$PATH" protoc --proto_path="$here" --proto_path="$here/../../durable/durablepb" --go_out="$out" --go_opt=paths=source_relative handover.proto
