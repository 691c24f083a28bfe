#!/bin/sh
# Builds the stand-ins and the player of the cases into target/review. It needs only the Go
# toolchain and its standard library.
set -e
cd "$(dirname "$0")/tools"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o ../../target/review/cases .
