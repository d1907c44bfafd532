#!/bin/sh
# Kills the process that schedules after a wave is done and while an earlier one isn't.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec review/_stand3/target/stand -case wave -program target/cranberrypick -record review/11/record.txt
