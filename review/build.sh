#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies: this only checks that
# they load and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py [1-5]/case.py
rm -rf __pycache__ [1-5]/__pycache__
test -x ../target/bin/wigeonlb-node
