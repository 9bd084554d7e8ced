# Functions shared by run.sh and the benchmarks, which start the real processes on
# free ports and end them by process id. Builds first unless SKIP_BUILD is set.
# To be sourced after "set -euo pipefail".

if [ -z "${SKIP_BUILD:-}" ]; then
  Meta/install_packages.sh
  cmake --preset default >/dev/null
  cmake --build build
fi

BUILD=${BUILD:-build}
WORK=$(mktemp -d)
PIDS=()

end_processes() {
  local Pid
  for Pid in "${PIDS[@]}"; do kill "$Pid" 2>/dev/null || true; done
  # Signals that arrive together count as one, so the second signal is delayed.
  [ ${#PIDS[@]} -eq 0 ] || sleep 0.2
  for Pid in "${PIDS[@]}"; do
    # A draining host keeps serving for its address lifetime; the second signal
    # ends it at once.
    kill "$Pid" 2>/dev/null || true
    wait "$Pid" 2>/dev/null || true
  done
  PIDS=()
}

fail() {
  echo "$0: $*; outputs are in $WORK" >&2
  exit 1
}

# Runs a program in the background with its output in files; sets PID_name.
start_process() { # NAME PROGRAM ARGUMENT...
  local Name=$1
  shift
  "$@" >"$WORK/$Name.out" 2>"$WORK/$Name.err" &
  PIDS+=($!)
  printf -v "PID_${Name//-/_}" %s "$!"
}

# Waits for a pattern in a file and prints its first match.
await_output() { # FILE EXTENDED-REGULAR-EXPRESSION
  local Attempt
  for ((Attempt = 0; Attempt < 500; ++Attempt)); do
    if grep -m1 -oE "$2" "$1" 2>/dev/null; then return 0; fi
    sleep 0.02
  done
  return 1
}

# Waits for "NAME":"..." in a file and prints its first value.
json_string() { # FILE NAME
  local Found
  Found=$(await_output "$1" "\"$2\":\"[^\"]*\"") || fail "no $2 in $1"
  Found=${Found#*:\"}
  echo "${Found%\"}"
}

start_platform() {
  start_process platform "$BUILD/Tests/StandIns/standin-platform"
  PLATFORM=$(json_string "$WORK/platform.out" listen)
  PLATFORM_CONTROL=$(json_string "$WORK/platform.out" control)
}

# Starts targets; sets TARGETS to "id address" lines.
start_targets() { # COUNT BEHAVIOUR
  start_process targets "$BUILD/Tests/StandIns/standin-target" --count "$1" --behaviour "$2"
  await_output "$WORK/targets.out" '"targets":' >/dev/null || fail "the targets did not start"
  TARGET_CONTROL=$(json_string "$WORK/targets.out" control)
  TARGETS=$(grep -oE '"id":"[^"]*","address":"[^"]*"' "$WORK/targets.out" |
    sed -E 's/"id":"([^"]*)","address":"([^"]*)"/\1 \2/')
}

# Prints a manifest for the targets, spread over three failure domains.
manifest() { # SLOTS ADDRESS-LIFETIME-MS
  local Separator="" Index=0 Id Address Domains=(a b c)
  printf '{"hosts_maximum":6,"address_lifetime_ms":%s,"services":[{"name":"stock","operations":[{"method":"POST","path_prefix":"/checkout","idempotent":false}],"targets":[' "$2"
  while read -r Id Address; do
    printf '%s{"id":"%s","address":"%s","failure_domain":"%s","slots":%s,"max_connections":%s}' \
      "$Separator" "$Id" "$Address" "${Domains[Index++ % 3]}" "$1" $(($1 * 6 + 200))
    Separator=,
  done <<<"$TARGETS"
  printf ']}]}\n'
}

# Applies a manifest with the client, or writes the first manifest object to the
# platform if the client is not built.
apply() { # FILE
  local Client="$BUILD/Utilities/Client/comfreyrill"
  if [ -x "$Client" ]; then
    "$Client" apply "$1" --platform "$PLATFORM"
    return
  fi
  printf '{"number":1,"apply_id":"run-1","history":[],"manifest":%s}' "$(cat "$1")" |
    curl -sS -f -X PUT -H 'If-None-Match: *' --data-binary @- "http://$PLATFORM/objects/manifest" >/dev/null
}

# Starts a host; sets CALLER_n, PEER_n and ADMIN_n.
start_host() { # NUMBER DOMAIN
  local Seeds="" Index Variable Address
  for ((Index = 1; Index < $1; ++Index)); do
    Variable=PEER_$Index
    Seeds+="${Seeds:+,}\"${!Variable}\""
  done
  Address=127.0.0.$1
  cat >"$WORK/h$1.json" <<EOF
{"host":"h$1","failure_domain":"$2","caller_address":"$Address:0","peer_address":"$Address:0",
 "admin_address":"$Address:0","platform":["$PLATFORM"],"seeds":[$Seeds],
 "log":{"level":"${LOG_LEVEL:-info}","path":""}}
EOF
  start_process "h$1" "$BUILD/Services/Daemon/comfreyrilld" --settings "$WORK/h$1.json"
  for Variable in caller peer admin; do
    Address=$(await_output "$WORK/h$1.out" "event=listening.* ${Variable}_address=[^ ]*") || fail "host h$1 does not listen"
    printf -v "${Variable^^}_$1" %s "${Address##*=}"
  done
}

# Waits until a host is ready and sees at least PEERS ready peers.
await_ready() { # NUMBER PEERS
  local Variable=ADMIN_$1 Attempt Status
  for ((Attempt = 0; Attempt < 200; ++Attempt)); do
    Status=$(curl -s "http://${!Variable}/v1/status" || true)
    if grep -q '^{[^[]*"state":"ready"' <<<"$Status" &&
      [ "$(grep -o '"state":"ready"' <<<"$Status" | wc -l)" -gt "$2" ]; then
      return
    fi
    sleep 0.05
  done
  fail "host h$1 did not become ready"
}

# Prints the processor time of a process in clock ticks.
cpu_ticks() { # PID
  local Fields
  read -r -a Fields <"/proc/$1/stat"
  echo $((Fields[13] + Fields[14]))
}
