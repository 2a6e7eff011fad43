#!/bin/sh
# Needs the build of the deploy file and review/build-3.sh. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
[ -x target/yarrowgraded ] && [ -x target/review-3/cases ] || exit 2
exec target/review-3/cases reclaim-rack "$case_folder/record.txt"
