#!/bin/sh
# Nothing is compiled: all stand-ins are Python (standard library only). Checks that they can be read.
cd "$(dirname "$0")" && exec python3 - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
