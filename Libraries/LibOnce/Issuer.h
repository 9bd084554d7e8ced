#pragma once

#include <LibOnce/IdempotencyKey.h>
#include <LibOnce/Outcome.h>
#include <LibOnce/RecordTable.h>

#include <string>
#include <string_view>

namespace comfreyrill {

/// Progress of a call at the issuer of its key. A key that no call has used has
/// no record.
enum class CallPhase : std::uint8_t {
  /// A grant request has been sent to the witness.
  Requested,
  /// An attempt may be started.
  Granted,
  /// An attempt was started; its target may have run the call.
  Dispatched,
  /// The call has ended or the key is sealed; the outcome is stored and does
  /// not change any more.
  Finished,
};

struct IssuerRecord {
  std::uint64_t Fingerprint = 0;
  TimePoint Expiry;
  CallPhase Phase = CallPhase::Requested;
  SharedOutcome Stored;
};

/// State of the issuer: the keys that this process has issued and the records
/// of the calls that use them.
struct IssuerState {
  HostProcess Self;
  /// Random secret that keys the tags; only this process and the witnesses know
  /// it.
  std::string Secret;
  KeyRecordLimits Limits;
  std::uint64_t NextSequence = 1;
  RecordTable<std::uint64_t, IssuerRecord> Table;
  /// Highest expiry among the dropped records of calls that may have run. A
  /// call under a key that has no record and expires no later may have run.
  TimePoint RanWatermark{TimePoint::min()};
  /// Highest expiry among the dropped records of calls that did not run. A key
  /// that has no record and expires no later counts as sealed: its call did not
  /// run and must not be run.
  TimePoint SealedWatermark{TimePoint::min()};
  /// Latest time passed in; no expiry is checked against an earlier time.
  TimePoint LatestTime{TimePoint::min()};
};

/// Creates a key. A key without a witness depends on this process alone. No
/// record is added until a call uses the key.
IdempotencyKey issueKey(IssuerState &State, std::optional<HostProcess> Witness,
                        TimePoint Now);

enum class BeginVerdict {
  /// Send a grant request to the witness of the key; then call
  /// recordGrantReply or recordGrantTimeout.
  AskWitness,
  /// The key has no witness: run the call; call beginAttempt before each
  /// attempt.
  Run,
  /// A call with this key is in flight on this host; wait for its result.
  Join,
  /// Return the stored outcome to the caller.
  Replay,
  /// The call did not run and never will: the key is sealed and has no record.
  NotRun,
  /// The call may have run; its record was dropped.
  Unknown,
  /// The key was used for another request; this request was not run.
  Conflict,
  /// The tag is wrong, so this process did not issue the key; not run.
  Forged,
  /// The key expired before its first use; not run.
  Expired,
  /// Another host or an earlier process of this host issued the key; see
  /// Relay.h.
  NotThisIncarnation,
};

struct BeginDecision {
  BeginVerdict Verdict = BeginVerdict::Unknown;
  /// Present exactly when the verdict is Replay.
  SharedOutcome Stored;
};

/// Handles the arrival of a call under a key, from a caller or relayed by
/// another host.
BeginDecision beginCall(IssuerState &State, const IdempotencyKey &Key,
                        std::uint64_t Fingerprint, TimePoint Now);

/// Handles the arrival of a call that this host does not run (because the host
/// is leaving, the request is quarantined or the queue is full). Seals the key
/// unless it is in use already; never returns AskWitness or Run. Without the
/// seal, a late copy of the request could run after the caller got the outcome
/// "not run".
BeginDecision refuseCall(IssuerState &State, const IdempotencyKey &Key,
                         std::uint64_t Fingerprint, std::string_view Reason,
                         TimePoint Now);

enum class GrantStep {
  /// Run the call; call beginAttempt before each attempt.
  Run,
  /// The key is sealed: return the stored outcome to all callers that wait.
  KeySealed,
  /// The reply is late or a duplicate: do nothing.
  Ignore,
};

struct GrantDecision {
  GrantStep Step = GrantStep::Ignore;
  /// Present exactly when the step is KeySealed; send it to the witness as
  /// well.
  SharedOutcome Stored;
};

/// Records the reply of the witness to the grant request.
GrantDecision recordGrantReply(IssuerState &State, const IdempotencyKey &Key,
                               GrantVerdict Verdict, TimePoint Now);

/// Records that the witness did not reply in time or no longer exists.
GrantDecision recordGrantTimeout(IssuerState &State, const IdempotencyKey &Key,
                                 TimePoint Now);

/// Starts an attempt. Returns true when the call is granted, no other attempt
/// may have run and the deadline has not passed; otherwise nothing may be sent
/// to a target.
bool beginAttempt(IssuerState &State, const IdempotencyKey &Key,
                  TimePoint Deadline, TimePoint Now);

/// Records proof that the target did not run the attempt; another attempt may
/// begin.
void recordAttemptNotRun(IssuerState &State, const IdempotencyKey &Key);

/// Records the end of a call. Returns the outcome for all callers that wait and
/// for the witness (with outcomeForWitness), or null when no call is in flight
/// under the key. The outcome "not run" becomes "unknown" when an attempt may
/// have run.
SharedOutcome finishCall(IssuerState &State, const IdempotencyKey &Key,
                         StoredOutcome Outcome, TimePoint Now);

/// Returns the outcome as it is sent to the witness: without an answer that is
/// too large to copy.
SharedOutcome outcomeForWitness(const IssuerState &State, SharedOutcome Stored);

/// Drops records whose retention has ended. To be called periodically;
/// beginCall and refuseCall do the same.
void dropAgedRecords(IssuerState &State, TimePoint Now);

} // namespace comfreyrill
