#!/bin/sh
# Builds the stand-ins of the cases.  They are small Python programs (standard
# library only, review/common/harness.py and review/N/case.py), so there is
# nothing to compile: this checks that Python is there and can read them.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
