#!/bin/sh
# Plays the case of claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
