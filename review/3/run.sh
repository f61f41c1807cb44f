#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 it plays the same without the disruption. Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/synccopies ] && [ -x target/agatespindle-node ] || { echo "not built" >&2; exit 2; }
exec target/review/synccopies review/3/record.txt
