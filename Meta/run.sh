#!/usr/bin/env bash
# Builds everything, runs three hosts with a platform and targets on loopback,
# sends a request of each kind and prints its response with the matching decision
# log lines. Exits non-zero when a response is missing or unexpected.
# Usage: Meta/run.sh [--keep]; --keep leaves the processes running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/processes.sh
trap end_processes EXIT
FAILED=0

# Sends one request, prints the response and the log lines with its request id, and
# compares status and outcome with the expected ones.
check_call() { # TITLE STATUS OUTCOME HOST-NUMBER PATH CURL-ARGUMENT...
  local Title=$1 Status=$2 Outcome=$3 Number=$4 Variable=CALLER_$4 Path=$5 ActualStatus ActualOutcome Id Index
  shift 5
  echo "== $Title"
  ActualStatus=$(curl -sS -m 10 -o "$WORK/body" -D "$WORK/head" -w '%{http_code}' "$@" "http://${!Variable}$Path" || echo 000)
  sed -i 's/\r$//' "$WORK/head"
  ActualOutcome=$(sed -n 's/^Comfreyrill-Outcome: //p' "$WORK/head")
  Id=$(sed -n 's/^Comfreyrill-Request-Id: //p' "$WORK/head")
  echo "   h$Number $Path -> $ActualStatus, outcome ${ActualOutcome:-none}, $(grep -E '^Comfreyrill-(Target|Reason)' "$WORK/head" | tr '\n' ' ')"
  echo "   body: $(head -c 300 "$WORK/body" | tr '\n' ' ')"
  for Index in 1 2 3; do
    [ -z "$Id" ] || grep -hF "request=$Id " "$WORK/h$Index.out" | sed "s/^/   h$Index: /" || true
  done
  if [ "$ActualStatus" != "$Status" ] || [ "$ActualOutcome" != "$Outcome" ]; then
    echo "   FAILED: expected $Status, outcome ${Outcome:-none}"
    FAILED=1
  fi
}

new_key() { # HOST-NUMBER
  local Variable=CALLER_$1
  curl -sS -m 5 -X POST "http://${!Variable}/v1/keys?service=stock&count=1" | sed -E 's/.*"keys":\["([^"]*)".*/\1/'
}

start_platform
start_targets 6 '{"mean_ms":2,"slots":4}'
manifest 4 1000 >"$WORK/manifest.json"
apply "$WORK/manifest.json"
start_host 1 a
start_host 2 b
start_host 3 c
for Number in 1 2 3; do await_ready "$Number" 2; done
echo "platform $PLATFORM, hosts $CALLER_1 $CALLER_2 $CALLER_3, admin $ADMIN_1 $ADMIN_2 $ADMIN_3"

check_call "addresses and keys for a caller" 200 "" 1 "/v1/addresses?service=stock&keys=1"
check_call "idempotent lookup" 200 answer 1 "/v1/call/stock/lookup?token=lookup-1"
KEY=$(new_key 1)
check_call "checkout under a key" 200 answer 1 "/v1/call/stock/checkout?token=checkout-1" -X POST -H "Idempotency-Key: $KEY" -d one
check_call "the same key again: the stored answer" 200 answer 1 "/v1/call/stock/checkout?token=checkout-1" -X POST -H "Idempotency-Key: $KEY" -d one
check_call "the same key through another host: relayed to the issuer" 200 answer 2 "/v1/call/stock/checkout?token=checkout-1" -X POST -H "Idempotency-Key: $KEY" -d one
check_call "the same key for another request: refused" 409 not-run 1 "/v1/call/stock/checkout?token=checkout-1" -X POST -H "Idempotency-Key: $KEY" -d two
check_call "checkout without a key: refused" 400 not-run 1 "/v1/call/stock/checkout?token=checkout-2" -X POST -d one
check_call "unknown service: refused" 404 not-run 1 "/v1/call/unheard/lookup"
check_call "call depth above the limit: refused" 400 not-run 1 "/v1/call/stock/lookup?token=deep" -H "Comfreyrill-Depth: 10"
curl -sS -f -X POST -d '{"service_time":"fixed","mean_ms":400,"respects_deadline":false}' "http://$TARGET_CONTROL/control/behaviour" >/dev/null
check_call "deadline passes while the checkout runs: unknown" 504 unknown 3 "/v1/call/stock/checkout?token=checkout-3" -X POST -H "Idempotency-Key: $(new_key 3)" -H "Comfreyrill-Timeout-Ms: 100" -d one
curl -sS -f -X POST -d '{"mean_ms":2,"respects_deadline":true}' "http://$TARGET_CONTROL/control/behaviour" >/dev/null
check_call "request that crashes its target: unknown" 504 unknown 2 "/v1/call/stock/checkout?token=crash-1&crash=1" -X POST -H "Idempotency-Key: $(new_key 2)" -d one
check_call "the same request again, which crashes a second target: unknown" 504 unknown 3 "/v1/call/stock/checkout?token=crash-1&crash=1" -X POST -H "Idempotency-Key: $(new_key 3)" -d one
check_call "the same request a third time: refused, in quarantine" 503 not-run 1 "/v1/call/stock/checkout?token=crash-1&crash=1" -X POST -H "Idempotency-Key: $(new_key 1)" -d one
RUNS=$(curl -sS "http://$TARGET_CONTROL/control/runs" | grep -o '"checkout-1"' | wc -l)
echo "== executions of checkout-1 in the targets' log: $RUNS"
[ "$RUNS" -eq 1 ] || FAILED=1

if [ "${1:-}" = --keep ]; then
  echo "the processes keep running; end them with Ctrl-C. Outputs are in $WORK"
  wait
fi
[ "$FAILED" -eq 0 ] || fail "an answer is missing or wrong"
end_processes
rm -r "$WORK"
echo "run: all answers as expected"
