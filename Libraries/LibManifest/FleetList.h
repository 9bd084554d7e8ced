#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

enum class FleetState { Live, Leaving };

/// A machine of the fleet, as the platform lists it.
struct FleetMachine {
  HostId Host;
  /// IP address in numeric form; targets with this address run on the machine.
  std::string Address;
  FleetState State = FleetState::Live;

  bool operator==(const FleetMachine &) const = default;
};

/// The platform's object "fleet".
struct FleetList {
  std::vector<FleetMachine> Machines;

  /// True when a machine with the address is listed as leaving and none with
  /// the same address is live.
  bool isLeaving(std::string_view Address) const;

  bool operator==(const FleetList &) const = default;
};

/// Reads a fleet list. Fails with InvalidInput or TooLarge; the caller keeps
/// the list it has. Fields that this version does not know are ignored, because
/// the platform, not an operator, writes the list.
Result<FleetList> parseFleetList(std::string_view Text);

/// Writes what parseFleetList reads.
std::string formatFleetList(const FleetList &Fleet);

} // namespace comfreyrill
