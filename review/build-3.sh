#!/bin/sh
# Builds the stand-in of the scripts of the third review. It needs no network once the
# modules of the product are there.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin3 review/standin3/*.go
