#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-15 ] && [ -x target/bin/baobabswitch-mesh ] || { echo "build first"; exit 2; }
exec timeout -k 5 118 target/review-3/case-15 review/15/record.txt
