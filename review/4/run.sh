#!/usr/bin/env bash
# Exit code: 1 when the rule was broken, 0 when it held, 2 when the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
