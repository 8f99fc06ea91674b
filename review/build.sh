#!/usr/bin/env bash
# Builds what the scripts start besides the deploy file's build. The stand-ins
# are Python with the standard library only; they are checked here.
cd "$(dirname "$0")" || exit 2
python3 -B - <<'PY'
import glob
import tomllib  # Python 3.11 or later

for path in ["standins.py", *sorted(glob.glob("[0-9]/case.py"))]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
PY
