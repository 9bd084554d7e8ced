#include <LibDomainChoice/NeighborChoice.h>
#include <LibGateway/Admission.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Above this utilization, one round of probes that finds no good local target
// suffices. Below it the next local ones are good nearly always, so that
// leaving would only cost bytes. 30% busy slots of a domain of 80 hardly exceed
// it by chance; with 0.4, 0.023 of the requests left on such a day (bound
// 0.02).
constexpr double BusyUtilization = 0.45;
// Local targets that are probed before others in a domain that is not busy: the
// probes of two rounds.
constexpr std::size_t ProbesBeforeLeaving = 8;

bool isFreeAtUsualSpeed(const ProbedCandidate &Candidate) {
  return Candidate.IsHealthy && !Candidate.Target.IsSuspect &&
         !Candidate.Target.IsCold && hasFreeSlot(Candidate.Load) &&
         Candidate.Load.Slowdown <= UsualSlowdownMaximum;
}

} // namespace

// Responds to a domain whose free slots are slow, or which has few targets,
// while its neighbors have good ones. An answer in time is worth 1, and the
// time that a target saves is worth its share of the latency objective, so a
// target must save the price of the bytes times the objective, and the delay.
std::optional<RemoteFactors> factorsForNeighbors(const LeavingRequest &Request,
                                                 const LocalSearch &Search,
                                                 double BytePrice) {
  const std::size_t Wanted =
      Search.Utilization >= BusyUtilization ? 1 : ProbesBeforeLeaving;
  const bool HasSearched =
      Request.Waited >= SelectionRetryInterval ||
      Search.ProbedTargets >= std::min(Wanted, Search.UsableTargets);
  if (!HasSearched || Request.WorkTime <= Duration::zero())
    return std::nullopt;
  const std::chrono::duration<double> Price =
      Request.LatencyObjective * (BytePrice * Request.Bytes);
  const double Needed = 1 + (Price + 2 * Search.Delay) /
                                std::chrono::duration<double>(Request.WorkTime);
  const RemoteFactors Minimum;
  const double Selection = std::max(Needed, Minimum.Selection);
  return RemoteFactors{Selection,
                       Minimum.Probe * Selection / Minimum.Selection};
}

void widenSearch(RequestChoice &Choice,
                 const std::vector<ProbedCandidate> &Probed,
                 const LeavingRequest &Request, double Utilization,
                 Duration NeighborDelay, double BytePrice) {
  if (Choice.UsableLocalTargets == 0)
    return;
  LocalSearch Search;
  Search.Utilization = Utilization;
  Search.ProbedTargets = static_cast<std::size_t>(std::count_if(
      Probed.begin(), Probed.end(), [](const ProbedCandidate &Candidate) {
        return Candidate.Target.IsInLocalDomain;
      }));
  Search.UsableTargets = Choice.UsableLocalTargets;
  Search.Delay = NeighborDelay;
  const auto Factors = factorsForNeighbors(Request, Search, BytePrice);
  if (!Factors)
    return;
  Choice.Factors = *Factors;
  Choice.MayUseNeighbors = true;
}

std::optional<std::size_t>
selectStaying(const std::vector<ProbedCandidate> &Probed,
              const RemoteFactors &Factors) {
  const auto Best = selectTarget(Probed, Factors);
  if (!Best || Probed[*Best].Target.IsInLocalDomain ||
      isFreeAtUsualSpeed(Probed[*Best]))
    return Best;
  std::vector<ProbedCandidate> Local;
  std::vector<std::size_t> Indices;
  for (std::size_t Index = 0; Index < Probed.size(); ++Index)
    if (Probed[Index].Target.IsInLocalDomain) {
      Local.push_back(Probed[Index]);
      Indices.push_back(Index);
    }
  const auto BestLocal = selectTarget(Local, Factors);
  return BestLocal ? std::optional(Indices[*BestLocal]) : Best;
}

} // namespace comfreyrill
