#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start: stand-ins in Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile sitekit.py streamer.py ./{6,7,8,9,10}/case.py
