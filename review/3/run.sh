#!/usr/bin/env bash
# Case 3: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt beside this script.
set -u
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
for program in bin/minttray bin/review-3; do
	[ -x "$program" ] || { echo "$program is missing: run the build line of deploy/balancer.toml and review/build.sh"; exit 2; }
done
export TROUBLE="${TROUBLE:-1}"
timeout --kill-after=5 100 bin/review-3 "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
