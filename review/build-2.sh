#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
cd "$(dirname "$0")/harness2" || exit 1
exec go build -buildvcs=false -o ../../target/review-2/ .
