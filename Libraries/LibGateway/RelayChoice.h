#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Random.h>

#include <optional>
#include <vector>

namespace comfreyrill {

/// Another host to which a request can be relayed.
struct RelayHost {
  Endpoint CallerAddress;
  bool IsInLocalDomain = false;
  /// The host could not be reached, or could not reach targets itself, until
  /// shortly before this time.
  TimePoint UnfitUntil = TimePoint::min();
};

/// Chooses a host that may be able to serve a request. PrefersLocalDomain says
/// which hosts come first. Returns nothing when all hosts are unfit.
std::optional<Endpoint> chooseRelayHost(const std::vector<RelayHost> &Hosts,
                                        bool PrefersLocalDomain, TimePoint Now,
                                        Random &Generator);

} // namespace comfreyrill
