#include <LibQuarantine/Quarantine.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr unsigned BadGateway = 502;

// Entries of the order that do not match their request were superseded.
bool isCurrent(const QuarantineState &State,
               const QuarantineState::Expiry &Entry) {
  auto Request = State.Requests.find(Entry.Fingerprint);
  return Request != State.Requests.end() &&
         Request->second.ExpiresAt == Entry.Time;
}

void dropExpired(QuarantineState &State, TimePoint Now) {
  while (!State.Order.empty() && (State.Order.front().Time <= Now ||
                                  !isCurrent(State, State.Order.front()))) {
    if (isCurrent(State, State.Order.front()))
      State.Requests.erase(State.Order.front().Fingerprint);
    State.Order.pop_front();
  }
  // Requests that were cleared leave entries behind until their time comes.
  if (State.Order.size() > 2 * State.Limits.RequestsMaximum)
    std::erase_if(State.Order, [&](const QuarantineState::Expiry &Entry) {
      return !isCurrent(State, Entry);
    });
}

// The evidence that expires first goes first. After dropExpired the front of
// the order is current.
void makeRoom(QuarantineState &State) {
  if (State.Requests.size() < State.Limits.RequestsMaximum ||
      State.Order.empty())
    return;
  State.Requests.erase(State.Order.front().Fingerprint);
  State.Order.pop_front();
}

// A target that goes on to fail after the first failures is broken itself, and
// each failure renews that.
bool recordBreak(QuarantineState &State, const TargetId &Target,
                 TimePoint Now) {
  auto Known = State.BrokenTargets.find(Target);
  if (Known == State.BrokenTargets.end()) {
    if (State.BrokenTargets.size() >= State.Limits.BrokenTargetsMaximum)
      std::erase_if(State.BrokenTargets, [&](const auto &Entry) {
        return Entry.second.Latest + State.Limits.SteadyAfter <= Now;
      });
    if (State.BrokenTargets.size() >= State.Limits.BrokenTargetsMaximum)
      return true;
    State.BrokenTargets.emplace(Target, BrokenTarget{Now, Now});
    return true;
  }
  if (Known->second.Latest + State.Limits.SteadyAfter <= Now)
    Known->second.BurstStart = Now;
  Known->second.Latest = Now;
  return Now <= Known->second.BurstStart + State.Limits.Burst;
}

bool isAtLimit(const QuarantineLimits &Limits, const SuspectRequest &Request) {
  auto Steady = static_cast<std::size_t>(
      std::count_if(Request.Crashes.begin(), Request.Crashes.end(),
                    [](const Crash &Known) { return Known.Steady; }));
  return Steady >= Limits.SteadyTargetsMaximum ||
         Request.Crashes.size() >= Limits.TargetsMaximum;
}

} // namespace

bool isCrashStatus(unsigned Status) { return Status == BadGateway; }

CrashResult recordCrash(QuarantineState &State, std::uint64_t Fingerprint,
                        const TargetId &Target, TimePoint Now) {
  dropExpired(State, Now);
  bool Steady = recordBreak(State, Target, Now);
  if (!State.Requests.contains(Fingerprint))
    makeRoom(State);
  SuspectRequest &Request = State.Requests[Fingerprint];
  Request.ExpiresAt = Now + State.Limits.Window;
  State.Order.push_back({Fingerprint, Request.ExpiresAt});
  // Copies that were in flight break further targets.
  if (Now < Request.QuarantinedUntil) {
    Request.QuarantinedUntil = Request.ExpiresAt;
    return CrashResult::Known;
  }
  std::erase_if(Request.Crashes, [&](const Crash &Known) {
    return Known.Time + State.Limits.Window <= Now;
  });
  auto Known = std::find_if(
      Request.Crashes.begin(), Request.Crashes.end(),
      [&](const Crash &Earlier) { return Earlier.Target == Target; });
  bool IsNew = Known == Request.Crashes.end();
  if (!IsNew) {
    Known->Time = Now;
    Known->Steady = Known->Steady || Steady;
  } else {
    Request.Crashes.push_back({Target, Now, Steady});
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
