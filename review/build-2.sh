#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The build tag keeps them out
# of the default build and of CI.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-2 ./review/standins-2
