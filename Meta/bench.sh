#!/usr/bin/env bash
# Runs one of the benchmarks. Usage: Meta/bench.sh path|routing|control|manifest [ARGUMENT...]
set -euo pipefail
KIND=${1:?usage: Meta/bench.sh path|routing|control|manifest [ARGUMENT...]}
shift
case "$KIND" in
path | routing | control | manifest) exec "$(dirname "$0")/bench_$KIND.sh" "$@" ;;
*)
  echo "bench: no benchmark '$KIND'; choose path, routing, control or manifest" >&2
  exit 1
  ;;
esac
