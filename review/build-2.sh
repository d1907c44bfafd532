#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10 into review/_stand2/target/.
set -eu
cd "$(dirname "$0")/.."
go build -o review/_stand2/target/stand ./review/_stand2
