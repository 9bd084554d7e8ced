#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace comfreyrill {

struct QuarantineLimits {
  /// Evidence counts for so long, and a quarantine ends so long after the
  /// evidence that caused it.
  Duration Window = std::chrono::minutes(10);
  /// Distinct targets that a request may break before it is refused, when they
  /// were steady until then.
  std::size_t SteadyTargetsMaximum = 2;
  /// The same for targets of any kind, so that unsteady ones do not let a
  /// request through without end.
  std::size_t TargetsMaximum = 4;
  /// A target is steady again when nothing broke there for so long.
  Duration SteadyAfter = std::chrono::seconds(10);
  /// Everything that breaks within so long of the first failure belongs to one
  /// crash: it reaches this host over several connections and by several peers.
  Duration Burst = std::chrono::milliseconds(100);
  /// A retry after a crash waits so long, four times the delay of evidence
  /// between hosts. Without the wait each copy of a request could take down two
  /// targets before the evidence of the other copies arrives.
  Duration RetryDelay = std::chrono::milliseconds(20);
  /// Requests with evidence that are kept.
  std::size_t RequestsMaximum = 16'384;
  /// Targets that broke lately that are kept.
  std::size_t BrokenTargetsMaximum = 8'192;
};

/// A target broke while it ran the request.
struct Crash {
  TargetId Target;
  TimePoint Time;
  /// Nothing else had broken there shortly before. A target that fails request
  /// after request says little about each of them.
  bool Steady = true;
};

/// Evidence against one request: one crash for each target.
struct SuspectRequest {
  std::vector<Crash> Crashes;
  TimePoint QuarantinedUntil{TimePoint::min()};
  TimePoint ExpiresAt{TimePoint::min()};
};

/// When a target broke, over all requests.
struct BrokenTarget {
  TimePoint BurstStart;
  TimePoint Latest;
};

/// The evidence that this host knows, its own and that of its peers.
struct QuarantineState {
  struct Expiry {
    std::uint64_t Fingerprint = 0;
    TimePoint Time;
  };

  QuarantineLimits Limits;
  std::unordered_map<std::uint64_t, SuspectRequest> Requests;
  /// In the order of time. Entries of requests that were extended or cleared
  /// since are skipped.
  std::deque<Expiry> Order;
  std::unordered_map<TargetId, BrokenTarget> BrokenTargets;
};

/// Whether an answer with this status says that the process that ran the
/// request died. Only 502 does: a server sends it when its worker went away,
/// whereas 500 also stands for errors that were handled.
bool isCrashStatus(unsigned Status);

enum class CrashResult {
  Counted,
  /// The request is refused from now on.
  Quarantined,
  /// The target was counted already, or the request was refused already.
  Known,
};

/// An attempt ended in a reset by the target after the request was written, or
/// in a crash status; here or at a peer. Evidence from this host is sent to all
/// peers, whatever the result.
CrashResult recordCrash(QuarantineState &State, std::uint64_t Fingerprint,
                        const TargetId &Target, TimePoint Now);

/// A target answered the request completely, here or at a peer. Clears the
/// evidence and lifts the quarantine. Returns whether there was any; if so and
/// the answer came to this host, peers are told.
bool recordAnswer(QuarantineState &State, std::uint64_t Fingerprint);

/// Whether there is evidence against the request.
bool hasCrashEvidence(const QuarantineState &State, std::uint64_t Fingerprint);

/// One crash of one request, as told to a host that has just started.
struct CrashSnapshotEntry {
  std::uint64_t Fingerprint = 0;
  TargetId Target;
};

/// The crashes that a host which knows nothing has to be told, of at most
/// RequestsMaximum requests.
std::vector<CrashSnapshotEntry> crashSnapshot(const QuarantineState &State,
                                              std::size_t RequestsMaximum,
                                              TimePoint Now);

/// Whether the request may be handed to a target; if not, it is refused as not
/// run with the reason "quarantined".
bool mayDispatch(const QuarantineState &State, std::uint64_t Fingerprint,
                 TimePoint Now);

enum class CrashRetryKind {
  /// Not now: ask again at the time of the decision.
  Wait,
  Retry,
  Refuse,
};

struct CrashRetryDecision {
  CrashRetryKind Kind = CrashRetryKind::Refuse;
  TimePoint RecheckAt;
};

/// Whether a call whose attempt ended in a crash at CrashedAt may try another
/// target, as far as quarantine is concerned.
CrashRetryDecision decideCrashRetry(const QuarantineState &State,
                                    std::uint64_t Fingerprint,
                                    TimePoint CrashedAt, TimePoint Now);

} // namespace comfreyrill
