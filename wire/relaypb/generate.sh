#!/bin/sh
# Regenerates relay.pb.go. Needs protoc (Debian package protobuf-compiler).
set -eu
cd "$(dirname "$0")/../.."
go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
protoc --plugin=bin/protoc-gen-go --go_out=. \
  --go_opt=module=github.com/gypsumspan/gypsumspan wire/relaypb/relay.proto
