#include <LibDomainChoice/RequestChoice.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Targets of the destination are probed before local ones, so that the share
// that leaves is about the one that was decided.
constexpr double LeavingProbeFactor = 0.25;
// A request that stays uses a remote target only in place of one that is
// practically unusable.
constexpr RemoteFactors StayFactors{8, 8};
constexpr double SelectionFactorMaximum = 4;

// Share of the recent requests whose leaving costs less. Requests of the same
// cost are ranked at random, because most lookups have nearly the same size.
double rankOf(const RecentCosts &Recent, double Cost, Random &Generator) {
  const std::size_t Known = std::min(Recent.Count, Recent.Costs.size());
  const auto End = Recent.Costs.begin() + static_cast<std::ptrdiff_t>(Known);
  const auto Less = std::count_if(Recent.Costs.begin(), End,
                                  [&](double Other) { return Other < Cost; });
  const auto Equal = std::count(Recent.Costs.begin(), End, Cost);
  std::uniform_real_distribution<double> Fraction(0, 1);
  return (static_cast<double>(Less) +
          Fraction(Generator) * (static_cast<double>(Equal) + 1)) /
         (static_cast<double>(Known) + 1);
}

void record(RecentCosts &Recent, double Cost) {
  Recent.Costs[Recent.Count % Recent.Costs.size()] = Cost;
  ++Recent.Count;
}

// A destination where the request would miss its objective is of use only when
// it misses it in the own domain as well.
std::vector<DomainShare> destinations(const DomainChoiceState &State,
                                      const LeavingRequest &Request,
                                      bool MissesAtHome) {
  std::vector<DomainShare> Found;
  for (const DomainShare &Entry : State.Shares)
    if (State.IsOwnLost || MissesAtHome ||
        Request.Waited + Entry.ExpectedTime <= Request.LatencyObjective)
      Found.push_back(Entry);
  return Found;
}

} // namespace

RequestChoice chooseForRequest(const DomainChoiceState &State,
                               RecentCosts &Recent,
                               const LeavingRequest &Request, double BytePrice,
                               Random &Generator) {
  const double PriceOfBytes = BytePrice * Request.Bytes;
  const bool MissesAtHome =
      Request.Waited + State.OwnExpectedTime > Request.LatencyObjective;
  // The value of an answer in time is 1.
  const double Cost = PriceOfBytes - (MissesAtHome ? 1 : 0);
  const double Rank = rankOf(Recent, Cost, Generator);
  record(Recent, Cost);
  const auto Found = destinations(State, Request, MissesAtHome);
  const bool IsTooExpensive = !State.IsOwnLost && PriceOfBytes >= 1;
  if (Found.empty() || IsTooExpensive || Rank >= leavingShare(State))
    return {std::nullopt, StayFactors};
  const auto Drawn = randomByWeight(
      Generator, Found, [](const DomainShare &Entry) { return Entry.Share; });
  const DomainShare &Chosen = Drawn == Found.end() ? Found.back() : *Drawn;
  if (State.IsOwnLost)
    return {Chosen.Domain, {1, 1}};
  return {
      Chosen.Domain,
      {std::min(1 + PriceOfBytes, SelectionFactorMaximum), LeavingProbeFactor}};
}

} // namespace comfreyrill
