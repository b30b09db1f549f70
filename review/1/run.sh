#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" && exec env PYTHONDONTWRITEBYTECODE=1 python3 case.py
