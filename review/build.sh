#!/bin/sh
# Builds the stand-ins of the cases. It needs the standard library only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-rig ./review/rig
