#pragma once

#include "DecisionLog.h"
#include "ServiceTable.h"

#include <LibManifest/Envelope.h>
#include <LibManifest/FleetList.h>

#include <functional>
#include <string>

namespace comfreyrill {

/// The manifest and the fleet list in force on this host. Each is only replaced
/// by one with a higher number, whichever source it comes from.
class ActiveDocuments {
public:
  ActiveDocuments(ServiceTable &Services, DecisionLog &Decisions);

  /// Parses a manifest envelope and puts its manifest in force if its number is
  /// higher. Returns true if the manifest was replaced. Fails with InvalidInput
  /// or TooLarge and then changes nothing.
  Result<bool> updateManifest(std::string_view Text, std::string_view Source);

  /// Does the same for the fleet list, whose number is the version of the
  /// platform's object.
  Result<bool> updateFleetList(std::uint64_t Version, std::string_view Text,
                               std::string_view Source);

  ManifestNumber number() const { return Number; }
  std::uint64_t fleetVersion() const { return FleetVersion; }
  const FleetList &fleet() const { return Fleet; }
  /// The documents as received; peers fetch them in this form.
  const std::string &manifestText() const { return ManifestText; }
  const std::string &fleetText() const { return FleetText; }

  /// Sets the function that is called after a document was replaced.
  void onChange(std::function<void()> Handler) {
    ChangeHandler = std::move(Handler);
  }

private:
  void logUpdate(std::string_view Document, std::uint64_t OfferedNumber,
                 std::string_view Source, std::string_view Decision) const;

  ServiceTable &Services;
  DecisionLog &Decisions;
  ManifestNumber Number;
  std::string ManifestText;
  std::uint64_t FleetVersion = 0;
  std::string FleetText;
  FleetList Fleet;
  std::function<void()> ChangeHandler;
};

} // namespace comfreyrill
