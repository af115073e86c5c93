#!/bin/sh
# Prepares the stand-ins of the cases. They are in Python (standard library,
# 3.11 or later), so this only checks that they compile and can be loaded.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
CHECK
python3 -m py_compile lib/standins.py ./[0-9]/case.py
python3 -c 'import sys; sys.path.insert(0, "lib"); import standins'
