#!/usr/bin/env bash
# Prepares what the scripts of the cases start beside the system itself: the
# stand-ins are Python programs of the standard library only, and are compiled
# into review/build to find errors early. The system is built by the `build`
# line of deploy/system.toml, not here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "the stand-ins need Python 3.11 or later")'
rm -rf build
mkdir -p build
PYTHONPYCACHEPREFIX=build python3 -m compileall -q standins */case.py
echo "stand-ins: compiled"
