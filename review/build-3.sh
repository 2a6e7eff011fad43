#!/bin/sh
# Builds the stand-ins of the cases 9 to 13 into target/review-3. The programs of the deploy file have to
# be built before.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/cases ./review/_cases3
