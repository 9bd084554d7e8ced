#!/usr/bin/env bash
# Measures the time from applying a manifest until it is in force, on hosts that
# reach the platform and on one host that gets the manifest from a peer.
# Usage: Meta/bench_manifest.sh [APPLIES]; 30 by default.
set -euo pipefail
cd "$(dirname "$0")/.."
APPLIES=${1:-30}
HOSTS=15
source Meta/processes.sh
trap end_processes EXIT
start_platform
start_targets 24 '{"mean_ms":2}'
manifest 6 30000 >"$WORK/manifest.json"
apply "$WORK/manifest.json" >/dev/null
for ((Number = 1; Number < HOSTS; ++Number)); do start_host "$Number" "d$((Number % 3))"; done
# Nothing listens on port 1, so this host reaches only its peers.
PLATFORM_ADDRESS=$PLATFORM
PLATFORM=127.0.0.1:1 start_host "$HOSTS" d0
PLATFORM=$PLATFORM_ADDRESS
for ((Number = 1; Number <= HOSTS; ++Number)); do await_ready "$Number" $((HOSTS - 1)); done

: >"$WORK/applied"
for ((Index = 2; Index < APPLIES + 2; ++Index)); do
  echo "$Index $(date +%s.%N)" >>"$WORK/applied"
  apply "$WORK/manifest.json" >/dev/null
  sleep 0.5
done
sleep 3

# Log timestamps have no zone and are local to the process; date converts them to
# seconds.
for ((Number = 1; Number <= HOSTS; ++Number)); do
  sed -nE 's/^([^ ]+) .*event=document name=manifest number=([0-9]+) .*decision=in_force.*/\2 \1/p' "$WORK/h$Number.out" |
    while read -r Index Stamp; do echo "$Number $Index $(date -d "$Stamp" +%s.%N)"; done
done >"$WORK/in_force"

awk -v Hosts="$HOSTS" 'NR == FNR {Applied[$1] = $2; next}
  $2 in Applied {print ($1 == Hosts ? "peer" : "platform"), ($3 - Applied[$2]) * 1000}' \
  "$WORK/applied" "$WORK/in_force" | sort -k1,1 -k2,2n >"$WORK/delays"
awk -v Expected="$APPLIES" -v Hosts="$HOSTS" '
  {Count[$1]++; Value[$1, Count[$1]] = $2}
  function at(Kind, Share,   I) {I = int(Count[Kind] * Share + 0.999999); return Value[Kind, I < 1 ? 1 : I]}
  END {
    for (Kind in Count)
      printf "%-9s in force %d times, ms from the start of apply: p50 %.0f, p99 %.0f, max %.0f\n", Kind, Count[Kind], at(Kind, 0.5), at(Kind, 0.99), at(Kind, 1)
    printf "bench manifest: p99 = %.0f ms; host without platform max = %.0f ms; skipped = %d of %d\n", at("platform", 0.99), at("peer", 1), Expected * Hosts - Count["platform"] - Count["peer"], Expected * Hosts
  }' "$WORK/delays"
