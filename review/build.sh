#!/usr/bin/env bash
# Builds the stand-ins and the player of the scripts. The programs themselves are built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-driver ./review/driver
