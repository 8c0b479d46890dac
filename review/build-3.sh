#!/bin/sh
# Checks that the stand-ins of the third review compile; they need only Python's standard library.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c '
import pathlib
for path in [pathlib.Path("standins3.py"), *sorted(pathlib.Path().glob("1[1-5]/*.py"))]:
    compile(path.read_bytes(), str(path), "exec")
'
