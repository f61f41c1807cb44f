#!/bin/bash
# Replaces the primary and, a second later, a replica of a service with sync_replicas = 1. See claim.txt.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
export ROOT
exec "$ROOT/target/harness3" release-two record.txt
