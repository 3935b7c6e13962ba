#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs no network: they use the standard
# library only, and are no part of the workspace of the project.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../bin/standin .
