#!/bin/sh
# Builds the stand-ins of the cases into bin/. The project's own programs are built by the
# command of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
for number in 1 2 3; do
	if [ -d "review/$number" ]; then
		CGO_ENABLED=0 go build -tags review -o "bin/review-$number" "./review/$number"
	fi
done
