#!/usr/bin/env bash
# Builds the stand-ins of the cases: plain Python modules of the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/rig/*.py review/[0-9]*/case.py
