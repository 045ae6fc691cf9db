#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: target/standin-2. It needs no
# network and no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin-2
GOFLAGS= GOWORK=off go build -o ../../target/standin-2 .
