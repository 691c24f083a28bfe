#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, after the build of the deploy file. The
# module in review/rig has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-rig .
