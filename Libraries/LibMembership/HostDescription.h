#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <vector>

namespace comfreyrill {

enum class HostState { Starting, Ready, Leaving };

/// State of a host, announced by the host itself or relayed by another host.
struct HostDescription {
  HostId Host;
  HostIncarnation Incarnation;
  /// Start of the process since the epoch, by the wall clock of its host. Only
  /// a hint, because the clocks of hosts differ.
  std::chrono::milliseconds StartedAt{0};
  /// In a short heartbeat, StartedAt is zero and the failure domain and the
  /// addresses are empty. They are then the same as in the last complete
  /// heartbeat of the same incarnation.
  FailureDomain Domain;
  Endpoint PeerAddress;
  Endpoint CallerAddress;
  Endpoint AdminAddress;
  HostState State = HostState::Starting;
  ManifestNumber Manifest;
  std::uint64_t FleetVersion = 0;
  /// False after a call of the host has failed to reach the platform.
  bool ReachesPlatform = true;
  /// True while the host watches the platform's store and its last call was
  /// answered.
  bool WatchesStore = false;
  /// Sequence number of the host's heartbeat that held this description.
  std::uint64_t Sequence = 0;

  bool isComplete() const { return !PeerAddress.Address.empty(); }
  bool operator==(const HostDescription &) const = default;
};

/// The membership part of a heartbeat. The daemon adds the load reports.
struct Heartbeat {
  HostDescription Sender;
  /// Other hosts from which the sender receives heartbeats itself.
  std::vector<HostDescription> Known;
};

} // namespace comfreyrill
