#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

enum class FleetState { Live, Leaving };

/// A machine in the platform's fleet list.
struct FleetMachine {
  HostId Host;
  /// Numeric IP address. Targets with this address run on the machine.
  std::string Address;
  FleetState State = FleetState::Live;

  bool operator==(const FleetMachine &) const = default;
};

/// The platform's object "fleet".
struct FleetList {
  std::vector<FleetMachine> Machines;

  /// True when a machine with the address is listed as leaving and no machine
  /// with the same address is live.
  bool isLeaving(std::string_view Address) const;

  bool operator==(const FleetList &) const = default;
};

/// Parses a fleet list. Fails with InvalidInput or TooLarge; the caller then
/// keeps its current list. Unknown fields are ignored, because the list is
/// written by the platform and not by an operator.
Result<FleetList> parseFleetList(std::string_view Text);

/// Serializes a fleet list for parseFleetList.
std::string formatFleetList(const FleetList &Fleet);

} // namespace comfreyrill
