#!/usr/bin/env bash
# Checks that the stand-ins of the third review, and those of the project that they use,
# can be built: they are Python, so compiling them is all. Nothing is written.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
from pathlib import Path

files = [Path("review/kit3.py"), Path("review/deadly.py"), *Path("standins").glob("*.py")]
files += [path for n in range(11, 16) for path in Path(f"review/{n}").glob("*.py")]
for path in files:
    compile(path.read_text(), str(path), "exec")
print(f"{len(files)} files compiled")
PYTHON
