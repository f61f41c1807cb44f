#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start. Run it in the repository's root, after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../../target/review
GOFLAGS="-buildvcs=false -mod=mod" GOPROXY=off go build -o ../../target/review/ ./cmd/...
