#pragma once

#include "DecisionLog.h"
#include "ServiceTable.h"

#include <LibManifest/Envelope.h>
#include <LibManifest/FleetList.h>

#include <functional>
#include <string>

namespace comfreyrill {

/// The manifest and the fleet list in force on this host. Both only ever move
/// to a higher number, whatever the source offers.
class ActiveDocuments {
public:
  ActiveDocuments(ServiceTable &Services, DecisionLog &Decisions);

  /// Puts an envelope in force if its number is higher. Returns whether it did.
  /// Fails with InvalidInput or TooLarge, and then changes nothing.
  Result<bool> updateManifest(std::string_view Text, std::string_view Source);

  /// The same for the fleet list; its number is the platform's version.
  Result<bool> updateFleetList(std::uint64_t Version, std::string_view Text,
                               std::string_view Source);

  ManifestNumber number() const { return Number; }
  std::uint64_t fleetVersion() const { return FleetNumber; }
  const FleetList &fleet() const { return Fleet; }
  /// The texts as received, for passing on to peers.
  const std::string &manifestText() const { return ManifestText; }
  const std::string &fleetText() const { return FleetText; }

  /// Called after each change.
  void onChange(std::function<void()> NewFunction) {
    Changed = std::move(NewFunction);
  }

private:
  void logUpdate(std::string_view Document, std::uint64_t OfferedNumber,
                 std::string_view Source, std::string_view Decision) const;

  ServiceTable &Services;
  DecisionLog &Decisions;
  ManifestNumber Number;
  std::string ManifestText;
  std::uint64_t FleetNumber = 0;
  std::string FleetText;
  FleetList Fleet;
  std::function<void()> Changed;
};

} // namespace comfreyrill
