#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
if ! command -v python3 >/dev/null; then
    echo "python3 is missing" | tee record.txt
    exit 2
fi
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
