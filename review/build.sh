#!/bin/sh
# Builds the stand-ins and checks of the cases. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-cases ./review/_cases
