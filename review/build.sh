#!/bin/sh
# The scripts and their stand-ins need Python's standard library only; this compiles them
# to show that they are whole. The nodes need the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
python3 -B -c 'import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))'
