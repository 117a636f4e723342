#!/bin/bash
# The stand-ins need the standard library only: this compiles them.
set -e
cd "$(dirname "$0")"
python3 -m py_compile platform_standin.py deployment.py ./*/case.py
