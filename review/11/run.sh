#!/usr/bin/env bash
# Writes to record.txt beside it what was sent, answered and run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -B review/11/run.py
