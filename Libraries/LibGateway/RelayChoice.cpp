#include <LibGateway/RelayChoice.h>

#include <algorithm>

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
      return Fit[std::uniform_int_distribution<std::size_t>(0, Fit.size() - 1)(
                     Generator)]
          ->CallerAddress;
  }
  return std::nullopt;
}

} // namespace comfreyrill
