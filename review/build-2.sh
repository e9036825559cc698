#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python scripts and use the standard library alone, so that nothing
# has to be built: this checks that they can be read by the machine's Python.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in [*pathlib.Path("lib-2").glob("*.py"), *(p for n in range(6, 11) for p in pathlib.Path(str(n)).glob("*.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
END
