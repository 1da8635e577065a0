#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out; KEEP_LOGS=FOLDER keeps the boxes' logs.
cd "$(dirname "$0")" || exit 2
# Python's own exit code for a program that can't begin is 1 as well.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
