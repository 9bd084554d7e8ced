#include <LibQuarantine/Quarantine.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr unsigned BadGateway = 502;

// An entry of ExpiryOrder is obsolete if its time differs from the expiry time
// of its request.
bool isCurrent(const QuarantineState &State,
               const QuarantineState::Expiry &Entry) {
  auto Request = State.Requests.find(Entry.Fingerprint);
  return Request != State.Requests.end() &&
         Request->second.ExpiresAt == Entry.Time;
}

void dropExpired(QuarantineState &State, TimePoint Now) {
  while (!State.ExpiryOrder.empty() &&
         (State.ExpiryOrder.front().Time <= Now ||
          !isCurrent(State, State.ExpiryOrder.front()))) {
    if (isCurrent(State, State.ExpiryOrder.front()))
      State.Requests.erase(State.ExpiryOrder.front().Fingerprint);
    State.ExpiryOrder.pop_front();
  }
  // Entries of cleared requests remain until their time has passed.
  if (State.ExpiryOrder.size() > 2 * State.Limits.RequestsMaximum)
    std::erase_if(State.ExpiryOrder, [&](const QuarantineState::Expiry &Entry) {
      return !isCurrent(State, Entry);
    });
}

// Evicts the evidence that expires first. Requires a preceding dropExpired(),
// which leaves a current entry at the front of ExpiryOrder.
void evictWhenFull(QuarantineState &State) {
  if (State.Requests.size() < State.Limits.RequestsMaximum ||
      State.ExpiryOrder.empty())
    return;
  State.Requests.erase(State.ExpiryOrder.front().Fingerprint);
  State.ExpiryOrder.pop_front();
}

// Records a crash and returns whether the target was stable before. A target
// that keeps crashing after CrashBurst is unstable, and each further crash
// extends that state.
bool recordTargetCrash(QuarantineState &State, const TargetId &Target,
                       TimePoint Now) {
  auto Known = State.CrashedTargets.find(Target);
  if (Known == State.CrashedTargets.end()) {
    if (State.CrashedTargets.size() >= State.Limits.CrashedTargetsMaximum)
      std::erase_if(State.CrashedTargets, [&](const auto &Entry) {
        return Entry.second.LatestCrash + State.Limits.StableAfter <= Now;
      });
    if (State.CrashedTargets.size() >= State.Limits.CrashedTargetsMaximum)
      return true;
    State.CrashedTargets.emplace(Target, CrashedTarget{Now, Now});
    return true;
  }
  if (Known->second.LatestCrash + State.Limits.StableAfter <= Now)
    Known->second.BurstStart = Now;
  Known->second.LatestCrash = Now;
  return Now <= Known->second.BurstStart + State.Limits.CrashBurst;
}

bool isAtLimit(const QuarantineLimits &Limits, const SuspectRequest &Request) {
  auto StableTargets = static_cast<std::size_t>(
      std::count_if(Request.Crashes.begin(), Request.Crashes.end(),
                    [](const Crash &Known) { return Known.TargetWasStable; }));
  return StableTargets >= Limits.StableTargetsMaximum ||
         Request.Crashes.size() >= Limits.TargetsMaximum;
}

} // namespace

bool isCrashStatus(unsigned Status) { return Status == BadGateway; }

CrashResult recordCrash(QuarantineState &State, std::uint64_t Fingerprint,
                        const TargetId &Target, TimePoint Now) {
  dropExpired(State, Now);
  bool TargetWasStable = recordTargetCrash(State, Target, Now);
  if (!State.Requests.contains(Fingerprint))
    evictWhenFull(State);
  SuspectRequest &Request = State.Requests[Fingerprint];
  Request.ExpiresAt = Now + State.Limits.EvidenceLifetime;
  State.ExpiryOrder.push_back({Fingerprint, Request.ExpiresAt});
  // Copies of the request that were in flight may crash further targets.
  if (Now < Request.QuarantinedUntil) {
    Request.QuarantinedUntil = Request.ExpiresAt;
    return CrashResult::Known;
  }
  std::erase_if(Request.Crashes, [&](const Crash &Known) {
    return Known.Time + State.Limits.EvidenceLifetime <= Now;
  });
  auto Known = std::find_if(
      Request.Crashes.begin(), Request.Crashes.end(),
      [&](const Crash &Earlier) { return Earlier.Target == Target; });
  bool IsNew = Known == Request.Crashes.end();
  if (!IsNew) {
    Known->Time = Now;
    Known->TargetWasStable = Known->TargetWasStable || TargetWasStable;
  } else {
    Request.Crashes.push_back({Target, Now, TargetWasStable});
  }
  if (isAtLimit(State.Limits, Request)) {
    Request.QuarantinedUntil = Request.ExpiresAt;
    return CrashResult::Quarantined;
  }
  return IsNew ? CrashResult::Counted : CrashResult::Known;
}

bool recordAnswer(QuarantineState &State, std::uint64_t Fingerprint) {
  return State.Requests.erase(Fingerprint) > 0;
}

bool mayDispatch(const QuarantineState &State, std::uint64_t Fingerprint,
                 TimePoint Now) {
  if (State.Requests.empty())
    return true;
  auto Request = State.Requests.find(Fingerprint);
  return Request == State.Requests.end() ||
         Now >= Request->second.QuarantinedUntil;
}

CrashRetryDecision decideCrashRetry(const QuarantineState &State,
                                    std::uint64_t Fingerprint,
                                    TimePoint CrashedAt, TimePoint Now) {
  if (!mayDispatch(State, Fingerprint, Now))
    return {CrashRetryKind::Refuse, Now};
  TimePoint Earliest = CrashedAt + State.Limits.RetryDelay;
  if (Now < Earliest)
    return {CrashRetryKind::Wait, Earliest};
  return {CrashRetryKind::Retry, Now};
}

bool hasCrashEvidence(const QuarantineState &State, std::uint64_t Fingerprint) {
  return State.Requests.contains(Fingerprint);
}

std::vector<CrashSnapshotEntry> crashSnapshot(const QuarantineState &State,
                                              std::size_t RequestsMaximum,
                                              TimePoint Now) {
  std::vector<CrashSnapshotEntry> Known;
  std::size_t Requests = 0;
  for (const auto &[Fingerprint, Suspect] : State.Requests) {
    if (Suspect.ExpiresAt <= Now)
      continue;
    if (++Requests > RequestsMaximum)
      break;
    for (const Crash &Entry : Suspect.Crashes)
      Known.push_back({Fingerprint, Entry.Target});
  }
  return Known;
}

} // namespace comfreyrill
