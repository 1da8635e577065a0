#!/usr/bin/env bash
# The stand-ins of the cases are Python 3.11 programs that use its standard
# library alone; nothing of them is compiled. This checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
import asyncio, tomllib
for it in sorted(glob.glob("*/*.py")):
    ast.parse(open(it).read(), it)
END
echo "review: stand-ins are ready"
