#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin-3 ./review/standin-3
