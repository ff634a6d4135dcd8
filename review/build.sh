#!/usr/bin/env bash
# The stand-ins are Python of the standard library only (review/common/fleet.py): checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py 1/*.py 2/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
CHECK
