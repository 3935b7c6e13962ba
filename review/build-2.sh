#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/standin-2 .
