#include <LibGateway/CandidateListing.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// How long a target is reserved for requests that are safe to retry after its
// ejection. Limited, because services without such requests must be able to use
// the target again, too.
constexpr Duration ProbationTime = std::chrono::seconds(2);
// Numbers of targets of a service that a host prefers over the others of its
// own failure domain and of the other ones. With hundreds of targets, a host
// would send to each one so rarely that its connections would expire unused.
constexpr double LocalSubsetSize = 24;
constexpr double RemoteSubsetSize = 32;
// Time for which a target counts as having joined lately. Hosts use it as often
// as the others in that time, and then have connections to it.
constexpr Duration JoiningTime = std::chrono::seconds(10);
// Targets that are listed within this time after the first ones of their
// service were registered before, and the host only learns of them.
constexpr Duration LearningTime = std::chrono::seconds(3);

bool isOnProbation(const OutlierState &State, TimePoint Now) {
  return State.Ejections > 0 && State.Successes == 0 && !State.Ejected &&
         Now - State.EjectedUntil < ProbationTime;
}

} // namespace

std::string_view targetExclusionName(TargetExclusion Exclusion) {
  switch (Exclusion) {
  case TargetExclusion::None:
    return "none";
  case TargetExclusion::Leaving:
    return "leaving";
  case TargetExclusion::HeldBack:
    return "held_back";
  case TargetExclusion::Evacuated:
    return "evacuated";
  case TargetExclusion::Paused:
    return "paused";
  case TargetExclusion::Cold:
    return "cold";
  case TargetExclusion::RateLimited:
    return "rate_limited";
  case TargetExclusion::OtherDomain:
    return "other_domain";
  }
  return "unknown";
}

TargetExclusion findExclusion(const TargetFacts &Facts, TimePoint Now) {
  if (!isUsable(Facts.Entry, Now))
    return Facts.Entry.Registration.IsDraining ? TargetExclusion::Leaving
                                               : TargetExclusion::HeldBack;
  if (Facts.IsEvacuated)
    return TargetExclusion::Evacuated;
  if (Facts.Pause != nullptr &&
      !admitsRequest(*Facts.Pause, Facts.InFlight, Now))
    return TargetExclusion::Paused;
  return TargetExclusion::None;
}

TargetCandidate makeCandidate(const TargetFacts &Facts,
                              const CandidateStats &Stats,
                              const FailureDomain &HostDomain, TimePoint Now) {
  const TargetRegistration &Registered = Facts.Entry.Registration;
  TargetCandidate Made;
  Made.Id = Registered.Id;
  Made.IsInLocalDomain = Registered.Domain == HostDomain;
  Made.IsCold = Now < Facts.Entry.ColdUntil;
  Made.IsSuspect = Stats.Outlier.Ejected || Facts.Entry.GraceEndsAt.has_value();
  Made.IsOnProbation = isOnProbation(Stats.Outlier, Now);
  Made.LastLoad = Stats.Load;
  Made.LoadAge = Now - Stats.LoadObservedAt;
  Made.OwnInFlight = Facts.InFlight;
  Made.StartedAtMilliseconds = Registered.StartedAtMilliseconds;
  Made.HasJoinedLately =
      Stats.FirstListedAt - Stats.ServiceListedAt > LearningTime &&
      Now - Stats.FirstListedAt < JoiningTime;
  return Made;
}

void markPreferredSubsets(std::vector<TargetCandidate> &Candidates,
                          const std::vector<double> &Preferences) {
  const auto LocalCount = static_cast<double>(
      std::count_if(Candidates.begin(), Candidates.end(),
                    [](const auto &Entry) { return Entry.IsInLocalDomain; }));
  const double RemoteCount =
      static_cast<double>(Candidates.size()) - LocalCount;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    Candidates[Index].IsInPreferredSubset =
        Candidates[Index].IsInLocalDomain
            ? Preferences[Index] * LocalCount < LocalSubsetSize
            : Preferences[Index] * RemoteCount < RemoteSubsetSize;
}

void applySemantics(std::vector<TargetCandidate> &Candidates,
                    ExecutionSemantics Semantics) {
  if (Semantics != ExecutionSemantics::AtMostOnce)
    return;
  for (TargetCandidate &Candidate : Candidates)
    Candidate.IsSuspect = Candidate.IsSuspect || Candidate.IsOnProbation;
}

} // namespace comfreyrill
