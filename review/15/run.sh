#!/bin/sh
# Kills the process that schedules while two waves of the same machines are carried out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec review/_stand3/target/stand -case mixed -program target/cranberrypick -record review/15/record.txt
