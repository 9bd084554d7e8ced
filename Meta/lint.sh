#!/usr/bin/env bash
# Runs clang-tidy and checks the layer order of the libraries.
# Usage: Meta/lint.sh [FILE...]; all sources when no file is given.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/check_layers.sh
cmake --preset lint >/dev/null
FILES=("$@")
[ ${#FILES[@]} -gt 0 ] || mapfile -t FILES < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v /Generated/)
printf '%s\0' "${FILES[@]}" |
  xargs -0 -n 2 -P "$(nproc)" Meta/lint_files.py --build build-lint
echo "lint: ${#FILES[@]} files are clean"
