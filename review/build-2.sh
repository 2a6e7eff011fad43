#!/bin/sh
# Builds the program of the scripted cases, after the build of the deploy file. It holds the cases and
# the stand-ins for clients, workers and the platform's store, and needs nothing but the standard library.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review2 ./review/_cases2
