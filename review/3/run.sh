#!/bin/sh
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"
