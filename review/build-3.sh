#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15. They are Python programs, so that
# only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins3.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
