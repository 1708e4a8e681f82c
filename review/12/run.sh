#!/bin/sh
# Runs the case against the system as the deploy file builds it; see claim.txt. With TROUBLE=0 there is no disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/mustardhook ] && [ -x target/review-3/rig3 ] || { echo "build the system and run review/build-3.sh first" >&2; exit 2; }
exec target/review-3/rig3 drill-evacuation "$here/record.txt"
