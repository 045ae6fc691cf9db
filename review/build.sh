#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
