#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The programs of the project come from the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../bin/ .
