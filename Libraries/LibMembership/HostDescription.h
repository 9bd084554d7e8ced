#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <vector>

namespace comfreyrill {

enum class HostState { Starting, Ready, Leaving };

/// What a host says about itself, or passes on about another one.
struct HostDescription {
  HostId Host;
  HostIncarnation Incarnation;
  /// Start of the process on its own wall clock, since the epoch. A hint only:
  /// clocks of hosts differ.
  std::chrono::milliseconds StartedAt{0};
  /// The failure domain and the addresses are empty in a short heartbeat, and
  /// the start is zero: they are those of the last complete one of the same
  /// incarnation.
  FailureDomain Domain;
  Endpoint PeerAddress;
  Endpoint CallerAddress;
  Endpoint AdminAddress;
  HostState State = HostState::Starting;
  ManifestNumber Manifest;
  std::uint64_t FleetVersion = 0;
  /// False after the host failed to reach the platform.
  bool ReachesPlatform = true;
  /// True while the host follows the platform's store and its last call was
  /// answered.
  bool WatchesStore = false;
  /// Heartbeat of that host which this description is taken from.
  std::uint64_t Sequence = 0;

  bool isComplete() const { return !PeerAddress.Address.empty(); }
  bool operator==(const HostDescription &) const = default;
};

/// The part of a heartbeat that this library decides. The daemon adds loads.
struct Heartbeat {
  HostDescription Sender;
  /// Other hosts that the sender hears itself.
  std::vector<HostDescription> Known;
};

} // namespace comfreyrill
