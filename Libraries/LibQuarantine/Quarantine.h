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
  /// Lifetime of the evidence of a crash. A quarantine ends this long after the
  /// last crash of the request.
  Duration EvidenceLifetime = std::chrono::minutes(10);
  /// Number of distinct targets, stable until then, whose crashes put a request
  /// into quarantine.
  std::size_t StableTargetsMaximum = 2;
  /// The same for targets of any kind, so that a request that crashes only
  /// unstable targets is quarantined as well.
  std::size_t TargetsMaximum = 4;
  /// A target is stable again after this time without a crash.
  Duration StableAfter = std::chrono::seconds(10);
  /// Failures at one target within this time after the first one count as the
  /// same crash, because one crash is reported over several connections and by
  /// several peers.
  Duration CrashBurst = std::chrono::milliseconds(100);
  /// Delay of a retry after a crash, four times the delay with which evidence
  /// reaches the other hosts. Without this delay each copy of a request could
  /// crash two targets before the evidence of the other copies arrives.
  Duration RetryDelay = std::chrono::milliseconds(20);
  /// Maximum number of requests with evidence that are stored.
  std::size_t RequestsMaximum = 16'384;
  /// Maximum number of recently crashed targets that are stored.
  std::size_t CrashedTargetsMaximum = 8'192;
};

/// A crash of a target while it executed the request.
struct Crash {
  TargetId Target;
  TimePoint Time;
  /// The target had no other crash shortly before. Crashes of a target that
  /// fails request after request are weak evidence against each of these
  /// requests.
  bool TargetWasStable = true;
};

/// Evidence against one request, with at most one crash per target.
struct SuspectRequest {
  std::vector<Crash> Crashes;
  TimePoint QuarantinedUntil{TimePoint::min()};
  TimePoint ExpiresAt{TimePoint::min()};
};

/// Crash times of one target over all requests.
struct CrashedTarget {
  TimePoint BurstStart;
  TimePoint LatestCrash;
};

/// Crash evidence that this host has recorded itself or received from peers.
struct QuarantineState {
  struct Expiry {
    std::uint64_t Fingerprint = 0;
    TimePoint Time;
  };

  QuarantineLimits Limits;
  std::unordered_map<std::uint64_t, SuspectRequest> Requests;
  /// Sorted by time. Entries of requests whose evidence was extended or cleared
  /// later are obsolete and skipped.
  std::deque<Expiry> ExpiryOrder;
  std::unordered_map<TargetId, CrashedTarget> CrashedTargets;
};

/// Returns whether an answer with this status indicates that the process that
/// executed the request crashed. Only 502 does: a server sends 502 when its
/// worker is gone, whereas 500 also stands for handled errors.
bool isCrashStatus(unsigned Status);

enum class CrashResult {
  Counted,
  /// The request is in quarantine from now on.
  Quarantined,
  /// The crash of this target was counted already, or the request was already
  /// in quarantine.
  Known,
};

/// Records that an attempt on this host or a peer crashed the target: the
/// target reset the connection after the request was written, or answered with
/// a crash status. The caller sends evidence from this host to all peers,
/// whatever the result.
CrashResult recordCrash(QuarantineState &State, std::uint64_t Fingerprint,
                        const TargetId &Target, TimePoint Now);

/// Records that a target answered the request completely, on this host or a
/// peer. Clears the evidence and ends the quarantine. Returns whether there was
/// evidence; if so, the host that got the answer notifies its peers.
bool recordAnswer(QuarantineState &State, std::uint64_t Fingerprint);

/// Returns whether there is evidence against the request.
bool hasCrashEvidence(const QuarantineState &State, std::uint64_t Fingerprint);

/// One crash of one request, as sent to a host that has just started.
struct CrashSnapshotEntry {
  std::uint64_t Fingerprint = 0;
  TargetId Target;
};

/// Returns the crashes to send to a host that has just started, of at most
/// RequestsMaximum requests.
std::vector<CrashSnapshotEntry> crashSnapshot(const QuarantineState &State,
                                              std::size_t RequestsMaximum,
                                              TimePoint Now);

/// Returns whether the request may be sent to a target. If not, the caller
/// refuses it as not executed with the reason "quarantined".
bool mayDispatch(const QuarantineState &State, std::uint64_t Fingerprint,
                 TimePoint Now);

enum class CrashRetryKind {
  /// Too early: decide again at CrashRetryDecision::RecheckAt.
  Wait,
  Retry,
  Refuse,
};

struct CrashRetryDecision {
  CrashRetryKind Kind = CrashRetryKind::Refuse;
  TimePoint RecheckAt;
};

/// Decides whether a call whose attempt ended in a crash at CrashedAt may be
/// retried on another target. Considers only the quarantine and the retry
/// delay.
CrashRetryDecision decideCrashRetry(const QuarantineState &State,
                                    std::uint64_t Fingerprint,
                                    TimePoint CrashedAt, TimePoint Now);

} // namespace comfreyrill
