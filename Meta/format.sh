#!/usr/bin/env bash
# Formats the C++ sources; with --check only reports those that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
MODE=(-i)
[ "${1:-}" = --check ] && MODE=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v /Generated/ |
  xargs clang-format "${MODE[@]}"
