#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/yarrowgraded && test -x target/review2 || exit 2
exec target/review2 gang-failure review/6/record.txt
