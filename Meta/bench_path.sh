#!/usr/bin/env bash
# Measures the overhead of a host per call: latency compared with the same call sent
# directly to the target, and processor time compared with a plain byte relay, all
# in one run.
# Usage: Meta/bench_path.sh [SECONDS]; duration of each measurement, 4 by default.
set -euo pipefail
cd "$(dirname "$0")/.."
SECONDS_EACH=${1:-4}
ROUNDS=3
source Meta/processes.sh
trap end_processes EXIT
CALLER=$BUILD/Tests/StandIns/standin-caller

start_platform
# The targets answer at once, so that only the path to them is measured.
start_targets 3 '{"mean_ms":0,"service_time":"fixed","slots":1000,"queue":1000}'
manifest 1000 30000 >"$WORK/manifest.json"
apply "$WORK/manifest.json"
# /v1/decisions serves the decisions at any log level; no log file is written.
LOG_LEVEL=${LOG_LEVEL:-info} start_host 1 a
await_ready 1 0
TARGET=$(head -1 <<<"$TARGETS" | cut -d' ' -f2)
start_process relay "$BUILD/Tests/StandIns/byte-relay" --to "$TARGET"
RELAY=$(json_string "$WORK/relay.out" listen)

# Runs the caller; prints "calls/s p50 p99 p999" and fails if more than 1
# in 100 calls have no answer.
measure() { # CALLER-ARGUMENT...
  "$CALLER" "$@" --seconds "$SECONDS_EACH" >"$WORK/caller.out"
  awk -v RS='[,{}]' -F: '
    /"calls":/ {Calls = $2} /"calls_per_second":/ {Rate = $2} /"answer":/ && !Answers {Answers = $2}
    /"p50":/ {P50 = $2} /"p99":/ {P99 = $2} /"p999":/ {P999 = $2}
    END {if (Answers < 0.99 * Calls || Calls == 0) exit 1; printf "%.0f %.3f %.3f %.3f\n", Rate, P50, P99, P999}' \
    "$WORK/caller.out" || fail "more than 1 in 100 calls had no answer: $(cat "$WORK/caller.out")"
}

read -r SATURATION _ < <(measure --host "$CALLER_1" --rate 0 --outstanding 64)
read -r RELAY_SATURATION _ < <(measure --direct "$RELAY" --rate 0 --outstanding 64)
echo "saturation with 64 calls at a time: host $SATURATION calls/s, byte relay $RELAY_SATURATION calls/s"

TICKS_PER_SECOND=$(getconf CLK_TCK)
# Runs the caller like measure and appends the processor time of a process in
# microseconds per call.
measure_with_cpu() { # PID CALLER-ARGUMENT...
  local Pid=$1 Before After Line
  shift
  Before=$(cpu_ticks "$Pid")
  Line=$(measure "$@")
  After=$(cpu_ticks "$Pid")
  awk -v T=$((After - Before)) -v H="$TICKS_PER_SECOND" -v S="$SECONDS_EACH" \
    '{printf "%s %.2f\n", $0, T / H * 1e6 / ($1 * S)}' <<<"$Line"
}

# Prints the minimum of each column over the rounds. Other load on the machine only
# adds to a time; in one run it raised the p99 of the direct path to 19 ms.
column_minima() { # FILE
  local Column
  for Column in 1 2 3 4 5; do
    cut -d' ' -f$Column "$1" | sort -g | head -1
  done | tr '\n' ' '
}

printf '%-10s %-8s %9s %9s %9s %9s %12s\n' load path calls/s p50/ms p99/ms p99.9/ms cpu-us/call
for Load in tenth half; do
  [ "$Load" = half ] && Rate=$((SATURATION / 2)) || Rate=$((SATURATION / 10))
  rm -f "$WORK"/{direct,relay,host}.rows
  for ((Round = 0; Round < ROUNDS; ++Round)); do
    measure_with_cpu "$PID_targets" --direct "$TARGET" --rate "$Rate" >>"$WORK/direct.rows"
    measure_with_cpu "$PID_relay" --direct "$RELAY" --rate "$Rate" >>"$WORK/relay.rows"
    measure_with_cpu "$PID_h1" --host "$CALLER_1" --rate "$Rate" >>"$WORK/host.rows"
  done
  for Path in direct relay host; do
    read -r Calls P50 P99 P999 Cpu <<<"$(column_minima "$WORK/$Path.rows")"
    printf '%-10s %-8s %9s %9s %9s %9s %12s\n' "$Load" "$Path" "$Calls" "$P50" "$P99" "$P999" "$Cpu"
    printf -v "P50_$Path" %s "$P50"
    printf -v "P99_$Path" %s "$P99"
    printf -v "P999_$Path" %s "$P999"
    printf -v "CPU_$Path" %s "$Cpu"
  done
  awk -v L="$Load" -v a="$P50_host" -v b="$P50_direct" -v c="$P99_host" -v d="$P99_direct" \
    -v e="$P999_host" -v f="$P999_direct" -v x="$CPU_host" -v y="$CPU_relay" 'BEGIN {
      printf "%-10s %-8s %9s %9.3f %9.3f %9.3f %12s\n", L, "added", "", a - b, c - d, e - f, ""
      printf "%-10s calls a second per core: host %.0f, byte relay %.0f; cpu ratio %.2f\n", L, 1e6 / x, 1e6 / y, x / y}'
done
awk -v c="$P99_host" -v d="$P99_direct" -v x="$CPU_host" -v y="$CPU_relay" \
  'BEGIN {printf "bench path: added p99 = %.3f ms; cpu ratio = %.2f\n", c - d, x / y}'
end_processes
rm -r "$WORK"
