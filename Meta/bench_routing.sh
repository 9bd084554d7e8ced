#!/usr/bin/env bash
# Replays the traces under each policy and prints latency, error and cost metrics.
# Usage: Meta/bench_routing.sh [NAME-PART]; only traces whose path contains NAME-PART.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset default >/dev/null
cmake --build build --target bench_routing -j 3 | grep -E "error:" || true
build/Tests/Replay/bench_routing Tests/Replay/Traces "$@"
