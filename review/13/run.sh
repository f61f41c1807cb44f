#!/bin/bash
# Replaces the primary of a service with sync_replicas = 1 twice while orders are carried out late. See claim.txt.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
export ROOT
exec "$ROOT/target/harness3" release-late record.txt
