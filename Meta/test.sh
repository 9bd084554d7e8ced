#!/usr/bin/env bash
# Installs the packages, builds and runs every test.
# Usage: Meta/test.sh [PRESET], where PRESET is default, sanitize or thread.
set -euo pipefail
cd "$(dirname "$0")/.."
PRESET=${1:-default}
BUILD=build
[ "$PRESET" = default ] || BUILD=build-$PRESET
Meta/install_packages.sh
cmake --preset "$PRESET" >/dev/null
cmake --build "$BUILD"
ctest --test-dir "$BUILD" --output-on-failure -j 4
