#pragma once

#include <LibCore/Endpoint.h>
#include <LibOnce/WitnessChoice.h>

#include <functional>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Addresses of one process of another host.
struct PeerAddresses {
  Endpoint Peer;
  Endpoint Caller;
  /// False when the process's heartbeats have stopped.
  bool IsAlive = false;
};

/// Lookup of other hosts for calls with idempotency keys.
struct PeerDirectory {
  /// Returns the addresses of a process; none when the process is unknown or
  /// has been replaced by a newer process of its host.
  std::function<std::optional<PeerAddresses>(const HostProcess &)> Find;
  /// Returns the processes that can be chosen as witnesses.
  std::function<std::vector<WitnessCandidate>()> Candidates;
};

} // namespace comfreyrill
