#!/bin/sh
# Builds the stand-ins of the cases in review/6 and later.
set -eu
cd "$(dirname "$0")/.."
mkdir -p out
go build -o out/review-stand2 ./review/_stand2
