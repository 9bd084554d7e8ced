#include "ManifestKeeper.h"

#include <LibManifest/ManifestUpdate.h>

namespace comfreyrill {

ManifestKeeper::ManifestKeeper(ServiceTable &Services, DecisionLog &Decisions)
    : Services(Services), Decisions(Decisions) {}

Result<bool> ManifestKeeper::offerManifest(std::string_view Text,
                                           std::string_view Source) {
  TRY(const auto Envelope, parseEnvelope(Text));
  if (!shouldAccept(Number, Envelope.Number)) {
    if (Envelope.Number != Number)
      logOffer("manifest", Envelope.Number.Value, Source, "ignored_older");
    return false;
  }
  Number = Envelope.Number;
  ManifestText = std::string(Text);
  Services.apply(Envelope.Content);
  logOffer("manifest", Number.Value, Source, "in_force");
  if (Changed)
    Changed();
  return true;
}

Result<bool> ManifestKeeper::offerFleet(std::uint64_t Version,
                                        std::string_view Text,
                                        std::string_view Source) {
  if (Version <= FleetNumber)
    return false;
  TRY(auto Parsed, parseFleetList(Text));
  FleetNumber = Version;
  FleetText = std::string(Text);
  Fleet = std::move(Parsed);
  std::unordered_set<std::string> Leaving;
  for (const FleetMachine &Machine : Fleet.Machines)
    if (Fleet.isLeaving(Machine.Address))
      Leaving.insert(Machine.Address);
  Services.setLeaving(std::move(Leaving));
  logOffer("fleet", Version, Source, "in_force");
  if (Changed)
    Changed();
  return true;
}

void ManifestKeeper::logOffer(std::string_view Document, std::uint64_t Offered,
                              std::string_view Source,
                              std::string_view Decision) const {
  LogLine Line("document");
  Line.field("name", Document)
      .field("number", Offered)
      .field("source", Source)
      .field("decision", Decision);
  Decisions.write(Line);
}

} // namespace comfreyrill
