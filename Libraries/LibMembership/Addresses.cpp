#include <LibMembership/Addresses.h>

#include <algorithm>

namespace comfreyrill {

namespace {

CallerAddress callerAddress(const HostDescription &Description) {
  return {Description.Host, Description.Domain, Description.CallerAddress};
}

// Counts the chosen addresses that belong to the domain.
std::size_t countInDomain(const std::vector<CallerAddress> &Chosen,
                          const FailureDomain &Domain) {
  return static_cast<std::size_t>(
      std::count_if(Chosen.begin(), Chosen.end(), [&](const CallerAddress &A) {
        return A.Domain == Domain;
      }));
}

// Moves addresses from the candidates until Count are chosen, each time from
// the domain with the fewest chosen addresses. The candidates are in random
// order, so the first match in that domain is a random host.
void moveBalanced(std::vector<CallerAddress> &Candidates,
                  std::vector<CallerAddress> &Chosen, std::size_t Count) {
  while (Chosen.size() < Count && !Candidates.empty()) {
    const auto Best = std::min_element(
        Candidates.begin(), Candidates.end(),
        [&](const CallerAddress &One, const CallerAddress &Other) {
          return countInDomain(Chosen, One.Domain) <
                 countInDomain(Chosen, Other.Domain);
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
    Preferred.push_back(callerAddress(Table.Self));
  for (const auto &Other : Table.Peers) {
    if (Other.Description.State != HostState::Ready ||
        liveness(Table, Other, Now) != Liveness::Alive)
      continue;
    (Other.IsMachineLeaving ? Departing : Preferred)
        .push_back(callerAddress(Other.Description));
  }
  std::shuffle(Preferred.begin(), Preferred.end(), Generator);
  std::shuffle(Departing.begin(), Departing.end(), Generator);
  std::vector<CallerAddress> Chosen;
  moveBalanced(Preferred, Chosen, Count);
  moveBalanced(Departing, Chosen, Count);
  return Chosen;
}

} // namespace comfreyrill
