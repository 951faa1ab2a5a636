#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, review/6 to review/10, after the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/standins2/bin/standins2 ./review/standins2
