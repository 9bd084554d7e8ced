#pragma once

#include <LibOnce/IdempotencyKey.h>
#include <LibOnce/Outcome.h>
#include <LibOnce/RecordTable.h>

#include <string>
#include <string_view>

namespace comfreyrill {

/// Progress of a call under a key at its issuer. No record means absent.
enum class CallPhase : std::uint8_t {
  /// The witness has been asked for its grant.
  Requested,
  /// May be handed to a target.
  Granted,
  /// Handed to a target, which may have run it.
  Dispatched,
  /// Ended or sealed; the outcome is stored and never changes.
  Finished,
};

struct IssuerRecord {
  std::uint64_t Fingerprint = 0;
  TimePoint Expiry;
  CallPhase Phase = CallPhase::Requested;
  SharedOutcome Stored;
};

/// The ledger of the keys that this process has issued.
struct IssuerState {
  HostProcess Self;
  /// Random bytes that no other process knows but the witnesses.
  std::string Secret;
  OnceLimits Limits;
  std::uint64_t NextSequence = 1;
  RecordTable<std::uint64_t, IssuerRecord> Table;
  /// Highest expiry among the dropped records of calls that may have run. A
  /// key without a record and an expiry up to here may have run.
  TimePoint RanMark{TimePoint::min()};
  /// The same for calls that did not run: such a key did not run, and must not.
  TimePoint SealedMark{TimePoint::min()};
  /// Latest time passed in.
  TimePoint Latest{TimePoint::min()};
};

/// Creates a key. Without a witness it is bound to this process alone. Nothing
/// is recorded until a call uses the key.
IdempotencyKey issueKey(IssuerState &State, std::optional<HostProcess> Witness,
                        TimePoint Now);

enum class BeginVerdict {
  /// Send a grant request to the witness of the key; then call
  /// recordGrantReply or recordGrantTimeout.
  AskWitness,
  /// The key has no witness: run the call, beginning with beginAttempt.
  Run,
  /// A call with this key is in flight here; wait for its result.
  Join,
  /// Tell the caller the stored outcome.
  Replay,
  /// Never ran and never will: sealed, without a record.
  NotRun,
  /// May have run; the record was dropped.
  Unknown,
  /// The key belongs to another request; nothing was run for this one.
  Conflict,
  /// This process never issued the key; not run.
  Forged,
  /// The key was not used in time; not run.
  Expired,
  /// Issued by another host or by an earlier process of this one; see Relay.h.
  NotThisIncarnation,
};

struct BeginDecision {
  BeginVerdict Verdict = BeginVerdict::Unknown;
  /// Present exactly when the verdict is Replay.
  SharedOutcome Stored;
};

/// A call arrives under a key, from a caller or relayed by another host.
BeginDecision beginCall(IssuerState &State, const IdempotencyKey &Key,
                        std::uint64_t Fingerprint, TimePoint Now);

/// A call arrives under a key, but this host will not run it (it is leaving,
/// the request is quarantined, the queue is full). Seals the key unless it is
/// in use already; never returns AskWitness or Run. Without the seal a late
/// copy of the request could run after the caller was told not run.
BeginDecision refuseCall(IssuerState &State, const IdempotencyKey &Key,
                         std::uint64_t Fingerprint, std::string_view Reason,
                         TimePoint Now);

enum class GrantStep {
  /// Run the call, beginning with beginAttempt.
  Run,
  /// The key is sealed: tell those who wait the stored outcome.
  Settled,
  /// The reply came late or twice: do nothing.
  Ignore,
};

struct GrantDecision {
  GrantStep Step = GrantStep::Ignore;
  /// Present exactly when the step is Settled; also to be sent to the witness.
  SharedOutcome Stored;
};

/// The witness has replied to the grant request.
GrantDecision recordGrantReply(IssuerState &State, const IdempotencyKey &Key,
                               GrantVerdict Verdict, TimePoint Now);

/// The witness did not reply in time, or is known to be gone.
GrantDecision recordGrantTimeout(IssuerState &State, const IdempotencyKey &Key,
                                 TimePoint Now);

/// Asks for permission to hand the call to a target. False unless the call is
/// granted, no other attempt may have run and the deadline lies ahead; then
/// nothing may be sent.
bool beginAttempt(IssuerState &State, const IdempotencyKey &Key,
                  TimePoint Deadline, TimePoint Now);

/// The attempt ended with proof that the target did not run it; another one may
/// begin.
void recordAttemptNotRun(IssuerState &State, const IdempotencyKey &Key);

/// The call has ended. Returns what to tell those who wait and to send to the
/// witness (with outcomeForWitness), or nothing when no call is in flight under
/// the key. An outcome of not run is turned into unknown when an attempt may
/// have run.
SharedOutcome finishCall(IssuerState &State, const IdempotencyKey &Key,
                         StoredOutcome Outcome, TimePoint Now);

/// The outcome as it is sent to the witness: without an answer that is too
/// large to copy.
SharedOutcome outcomeForWitness(const IssuerState &State, SharedOutcome Stored);

/// Drops records that are older than the limits. Called now and then; beginCall
/// does it too.
void dropAgedRecords(IssuerState &State, TimePoint Now);

} // namespace comfreyrill
