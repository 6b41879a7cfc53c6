#!/usr/bin/env bash
# Builds the programs of the second review's cases into bin/, beside those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for n in 6 7 8 9 10; do
	[ -d "review/rig-2/case$n" ] || continue
	CGO_ENABLED=0 go build -o "bin/review-2-$n" "./review/rig-2/case$n"
done
