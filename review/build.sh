#!/usr/bin/env bash
# Builds the stand-ins of all cases into bin/, beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for main in review/[0-9]*/main.go; do
	case=$(basename "$(dirname "$main")")
	CGO_ENABLED=0 go build -o "bin/review-$case" "./review/$case"
done
