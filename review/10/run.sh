#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, with 0 if it held and with 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# What was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/minttray ] && [ -x bin/review-2-10 ] || { echo "not built: run the build line of deploy/balancer.toml and review/build-2.sh"; exit 2; }
timeout --kill-after=5 115 bin/review-2-10 review/10
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
