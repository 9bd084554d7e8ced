#!/usr/bin/env bash
# Measures the control overhead of a host that receives no calls: processor time,
# memory, traffic between hosts and platform calls, at several fleet sizes, with a
# linear fit. Takes about five minutes.
# Usage: Meta/bench_control.sh [SECONDS]; duration of each measurement, 10 by default.
set -euo pipefail
cd "$(dirname "$0")/.."
SECONDS_EACH=${1:-10}
source Meta/processes.sh
trap end_processes EXIT

# Prints a manifest of COUNT targets that do not run, in at most 44 services.
control_manifest() { # COUNT
  awk -v Count="$1" 'BEGIN {
    Services = Count < 44 ? 1 : 44
    printf "{\"hosts_maximum\":64,\"services\":["
    for (S = 0; S < Services; ++S) {
      printf "%s{\"name\":\"s%d\",\"targets\":[", S ? "," : "", S
      First = 1
      for (T = S; T < Count; T += Services) {
        printf "%s{\"id\":\"t%d\",\"address\":\"127.1.%d.%d:9000\",\"failure_domain\":\"d%d\",\"slots\":6,\"max_connections\":200}", \
          First ? "" : ",", T, T / 200, T % 200 + 1, T % 7
        First = 0
      }
      printf "]}"
    }
    printf "]}" }'
}

# Prints the value of a metric of a host.
metric() { # HOST-NUMBER NAME
  local Variable=ADMIN_$1
  curl -sS -m 5 "http://${!Variable}/metrics" | awk -v Name="comfreyrill_$2" '$1 == Name {print $2}'
}

# Prints "TARGETS HOSTS cpu% MB KB/s calls/min" as means over the hosts.
measure_size() { # TARGETS HOSTS
  local Targets=$1 Hosts=$2 Number Cpu=0 Memory=0 Bytes=0 Calls=0 Variable Before=()
  start_platform
  control_manifest "$Targets" >"$WORK/control.json"
  apply "$WORK/control.json" >/dev/null
  for ((Number = 1; Number <= Hosts; ++Number)); do start_host "$Number" "d$((Number % 7))"; done
  for ((Number = 1; Number <= Hosts; ++Number)); do await_ready "$Number" "$((Hosts - 1))"; done
  # At first each host counts its peers among those that watch the platform; the
  # first watches end after 30 s.
  sleep 32
  for ((Number = 1; Number <= Hosts; ++Number)); do
    Variable=PID_h$Number
    Before[Number]="$(cpu_ticks "${!Variable}") $(metric "$Number" peer_bytes_sent_total) $(metric "$Number" peer_bytes_received_total)"
  done
  local CallsBefore CallsAfter
  CallsBefore=$(platform_calls)
  sleep "$SECONDS_EACH"
  CallsAfter=$(platform_calls)
  for ((Number = 1; Number <= Hosts; ++Number)); do
    Variable=PID_h$Number
    echo "${Before[Number]} $(cpu_ticks "${!Variable}") $(metric "$Number" peer_bytes_sent_total) $(metric "$Number" peer_bytes_received_total) $(awk '/VmRSS/ {print $2}' "/proc/${!Variable}/status")"
  done | awk -v T="$Targets" -v H="$Hosts" -v S="$SECONDS_EACH" -v Hz="$(getconf CLK_TCK)" -v C=$((CallsAfter - CallsBefore)) '
    {Cpu += ($4 - $1) / Hz / S * 100; Bytes += ($5 - $2 + $6 - $3) / S / 1000; Memory += $7 / 1000}
    END {printf "%d %d %.3f %.1f %.2f %.1f\n", T, H, Cpu / NR, Memory / NR, Bytes / NR, C * 60 / S}'
  end_processes
}

platform_calls() {
  curl -sS -m 5 "http://$PLATFORM_CONTROL/control/counts" | grep -oE '"total":[0-9]+' | cut -d: -f2
}

RESULTS=$WORK/results
: >"$RESULTS"
printf '%8s %6s %8s %8s %8s %14s\n' targets hosts cpu-% MB KB/s platform/min
for Size in "30 3" "200 3" "870 3" "30 15" "870 15" "870 40"; do
  read -r Targets Hosts <<<"$Size"
  measure_size "$Targets" "$Hosts" >"$WORK/line"
  cat "$WORK/line" >>"$RESULTS"
  awk '{printf "%8d %6d %8s %8s %8s %14s\n", $1, $2, $3, $4, $5, $6}' "$WORK/line"
done

# Prints the least-squares fit over the number of targets at 3 hosts, with the
# largest residual.
fit() { # COLUMN UNIT
  awk -v K="$1" -v Unit="$2" '$2 == 3 {N++; X[N] = $1; Y[N] = $K; SX += $1; SY += $K; SXX += $1 * $1; SXY += $1 * $K}
    END {B = (N * SXY - SX * SY) / (N * SXX - SX * SX); A = (SY - B * SX) / N
      for (I = 1; I <= N; ++I) {D = Y[I] - A - B * X[I]; if (D < 0) D = -D; if (D > R) R = D}
      printf "%s = %.3f + %.6f per target, largest residual %.3f\n", Unit, A, B, R}' "$RESULTS"
}
fit 3 "cpu %"
fit 4 "MB"
fit 5 "KB/s"
awk '$1 == 870 && $2 == 40 {printf "bench control: cpu = %s %% of a core; memory = %s MB; traffic = %s KB/s at 870 targets\n", $3, $4, $5}' "$RESULTS"
