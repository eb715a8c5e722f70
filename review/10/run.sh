#!/bin/sh
# Starts the system's instances and the stand-ins, and exits with 1 if the rule was broken, with 0
# if it held and with 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tarragonwell ] && [ -x target/review-10 ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec timeout -k 2 118 target/review-10
