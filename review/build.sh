#!/bin/sh
# Builds the stand-ins of the scripts: checks that they compile and that what they import is there.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - review/*.py review/[0-9]/*.py <<'END'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    compile(ast.parse(pathlib.Path(name).read_text(encoding="utf-8")), name, "exec")
sys.path.insert(0, ".")
import review.fleet

if not (review.fleet.ROOT / "target" / "deps" / "magnoliasill").is_dir():
    sys.exit("build the deploy file first")
END
