#include <LibGateway/RelayChoice.h>

namespace comfreyrill {

std::optional<Endpoint> chooseRelayHost(const std::vector<RelayHost> &Hosts,
                                        bool PrefersLocalDomain, TimePoint Now,
                                        Random &Generator) {
  for (const bool IsLocal : {PrefersLocalDomain, !PrefersLocalDomain}) {
    std::vector<const RelayHost *> Fit;
    for (const RelayHost &Host : Hosts)
      if (Host.IsInLocalDomain == IsLocal && Now >= Host.UnfitUntil)
        Fit.push_back(&Host);
    if (!Fit.empty())
      return Fit[randomIndex(Generator, Fit.size())]->CallerAddress;
  }
  return std::nullopt;
}

} // namespace comfreyrill
