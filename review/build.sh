#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs the programs of
# deploy/system.toml under target/ only when a script runs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin review/standin/*.go
