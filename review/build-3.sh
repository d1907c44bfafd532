#!/bin/sh
# Builds the stand-ins of the cases in review/11 to review/15 into review/_stand3/target/.
set -eu
cd "$(dirname "$0")/.."
go build -o review/_stand3/target/stand ./review/_stand3
