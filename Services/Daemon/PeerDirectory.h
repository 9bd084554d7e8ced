#pragma once

#include <LibCore/Endpoint.h>
#include <LibOnce/WitnessChoice.h>

#include <functional>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Where one process of another host can be reached.
struct PeerAddresses {
  Endpoint Peer;
  Endpoint Caller;
  /// False when its heartbeats have stopped.
  bool IsAlive = false;
};

/// What calls under keys need to know of the other hosts.
struct PeerDirectory {
  /// The addresses of a process; none when it is unknown or has been replaced
  /// by a later process of its host.
  std::function<std::optional<PeerAddresses>(const HostProcess &)> Find;
  std::function<std::vector<WitnessCandidate>()> Candidates;
};

} // namespace comfreyrill
