#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the system's own program, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_stand
