#!/bin/sh
# Builds what the cases 11 to 14 start besides the system itself.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig3
