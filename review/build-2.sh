#!/usr/bin/env bash
# Builds the driver of the second review's scripts, with all stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/driver-2
