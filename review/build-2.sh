#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-2/ ./review/harness2
