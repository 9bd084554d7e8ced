#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. They are Python programs of the
# standard library, so this only checks that they can be compiled here. The
# gateway comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for File in lib2/*.py [6-9]/*.py 10/*.py; do
  [ -f "$File" ] || continue
  python3 - "$File" <<'PYTHON'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
PYTHON
done
test -x ../target/Services/Daemon/comfreyrilld ||
  echo "build the gateway first, by the build line of deploy/system.toml" >&2
