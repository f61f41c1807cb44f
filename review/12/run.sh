#!/bin/bash
# Replaces the primary of a service with sync_replicas = 1 while one control host stands still. See claim.txt.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
export ROOT
exec "$ROOT/target/harness3" release-frozen record.txt
