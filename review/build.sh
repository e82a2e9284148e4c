#!/usr/bin/env bash
# Builds the stand-ins of the cases. The entry host itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go build -buildvcs=false -o bin/review-stand ./review/_stand
