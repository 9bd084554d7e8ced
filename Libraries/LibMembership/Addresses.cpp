#include <LibMembership/Addresses.h>

#include <algorithm>

namespace comfreyrill {

namespace {

CallerAddress address(const HostDescription &Description) {
  return {Description.Host, Description.Domain, Description.CallerAddress};
}

// How many of the chosen addresses are in a domain.
std::size_t timesUsed(const std::vector<CallerAddress> &Chosen,
                      const FailureDomain &Domain) {
  return static_cast<std::size_t>(
      std::count_if(Chosen.begin(), Chosen.end(), [&](const CallerAddress &A) {
        return A.Domain == Domain;
      }));
}

// Moves addresses from the candidates until Count are chosen. The candidates
// are in random order, so the first of the least used domain is a random one.
void moveSpread(std::vector<CallerAddress> &Candidates,
                std::vector<CallerAddress> &Chosen, std::size_t Count) {
  while (Chosen.size() < Count && !Candidates.empty()) {
    const auto Best = std::min_element(
        Candidates.begin(), Candidates.end(),
        [&](const CallerAddress &One, const CallerAddress &Other) {
          return timesUsed(Chosen, One.Domain) <
                 timesUsed(Chosen, Other.Domain);
        });
    Chosen.push_back(std::move(*Best));
    Candidates.erase(Best);
  }
}

} // namespace

std::vector<CallerAddress> chooseAddresses(const MemberTable &Table,
                                           std::size_t Count, TimePoint Now,
                                           Random &Generator) {
  std::vector<CallerAddress> Preferred;
  std::vector<CallerAddress> Departing;
  if (Table.Self.State == HostState::Ready)
    Preferred.push_back(address(Table.Self));
  for (const auto &Other : Table.Peers) {
    if (Other.Description.State != HostState::Ready ||
        liveness(Table, Other, Now) != Liveness::Alive)
      continue;
    (Other.FleetLeaving ? Departing : Preferred)
        .push_back(address(Other.Description));
  }
  std::shuffle(Preferred.begin(), Preferred.end(), Generator);
  std::shuffle(Departing.begin(), Departing.end(), Generator);
  std::vector<CallerAddress> Chosen;
  moveSpread(Preferred, Chosen, Count);
  moveSpread(Departing, Chosen, Count);
  return Chosen;
}

} // namespace comfreyrill
