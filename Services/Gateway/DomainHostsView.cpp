#include "DomainHostsView.h"

#include <algorithm>

namespace comfreyrill {

namespace {

// A host that is silent for longer is gone or cut off. If it counted on, a
// domain whose hosts have been replaced would leave cold targets unassigned.
constexpr Duration KnownTime = std::chrono::seconds(60);
// Hosts send reports to other domains at least this often.
constexpr Duration ReportLifetime = std::chrono::seconds(3);

bool isKnown(const Peer &Other, TimePoint Now) {
  return Now - Other.LastHeard.value_or(Other.KnownSince) <= KnownTime;
}

} // namespace

DomainHosts domainHosts(const MemberTable &Members, const DomainTable &Domains,
                        bool HasSeeds, TimePoint Now) {
  DomainHosts Hosts;
  Hosts.Self = Members.Self.Host;
  Hosts.Domain = Members.Self.Domain;
  for (const Peer &Other : Members.Peers)
    if (isKnown(Other, Now))
      Hosts.Others.push_back(
          {Other.Description.Host,
           Other.Description.State != HostState::Leaving &&
               liveness(Members, Other, Now) == Liveness::Alive});
  const bool HearsOtherDomain = std::any_of(
      Domains.Domains.begin(), Domains.Domains.end(), [&](const auto &Entry) {
        return Entry.second.HeardAt &&
               Now - *Entry.second.HeardAt <= ReportLifetime;
      });
  Hosts.IsIsolated =
      (HasSeeds || !Hosts.Others.empty()) && !HearsOtherDomain &&
      std::none_of(Hosts.Others.begin(), Hosts.Others.end(),
                   [](const DomainHost &Other) { return Other.IsLive; });
  return Hosts;
}

} // namespace comfreyrill
