#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yarrowgraded ] || { echo "target/yarrowgraded is missing: build it as in deploy/system.toml"; exit 2; }
[ -x target/review-cases ] || sh review/build.sh || exit 2
exec target/review-cases stale review/3/record.txt
