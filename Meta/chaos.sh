#!/usr/bin/env bash
# Runs the real processes under a seeded mix of faults and compares the callers'
# call logs with the targets' execution logs. Exits non-zero on any violation.
# Usage: Meta/chaos.sh SEED [DRIVER OPTION...], for example --seconds 30 or
# --inject double-run, which verifies that the check can fail.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=${1:?usage: Meta/chaos.sh SEED [DRIVER OPTION...]}
shift
BUILD=${BUILD:-build}
if [ -z "${SKIP_BUILD:-}" ]; then
  Meta/install_packages.sh
  [ -d "$BUILD" ] || cmake --preset default >/dev/null
  cmake --build "$BUILD" --target chaos-driver standin-platform standin-target standin-caller comfreyrilld
fi
WORK=$(mktemp -d)
STATUS=0
"$BUILD/Tests/Chaos/chaos-driver" --build "$BUILD" --work "$WORK" --seed "$SEED" "$@" || STATUS=$?
if [ "$STATUS" -eq 0 ]; then
  rm -r "$WORK"
else
  echo "chaos: outputs and logs are kept in $WORK" >&2
fi
exit "$STATUS"
