#!/usr/bin/env bash
# The stand-ins need only the standard library; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib, sys
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
sys.exit(sys.version_info < (3, 11))'
