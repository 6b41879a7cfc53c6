#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, with 0 if it held and with 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/minttray ] && [ -x bin/review-2-10 ] || { echo "not built"; exit 2; }
exec bin/review-2-10 review/10 # reads TROUBLE, writes record.txt there
