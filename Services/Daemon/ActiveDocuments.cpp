#include "ActiveDocuments.h"

#include <LibManifest/ManifestUpdate.h>

namespace comfreyrill {

ActiveDocuments::ActiveDocuments(ServiceTable &Services, DecisionLog &Decisions)
    : Services(Services), Decisions(Decisions) {}

Result<bool> ActiveDocuments::updateManifest(std::string_view Text,
                                             std::string_view Source) {
  TRY(const auto Envelope, parseEnvelope(Text));
  if (!shouldAccept(Number, Envelope.Number)) {
    if (Envelope.Number != Number)
      logUpdate("manifest", Envelope.Number.Value, Source, "ignored_older");
    return false;
  }
  Number = Envelope.Number;
  ManifestText = std::string(Text);
  Services.apply(Envelope.Content);
  logUpdate("manifest", Number.Value, Source, "in_force");
  if (ChangeHandler)
    ChangeHandler();
  return true;
}

Result<bool> ActiveDocuments::updateFleetList(std::uint64_t Version,
                                              std::string_view Text,
                                              std::string_view Source) {
  if (Version <= FleetVersion)
    return false;
  TRY(auto Parsed, parseFleetList(Text));
  FleetVersion = Version;
  FleetText = std::string(Text);
  Fleet = std::move(Parsed);
  std::unordered_set<std::string> Leaving;
  for (const FleetMachine &Machine : Fleet.Machines)
    if (Fleet.isLeaving(Machine.Address))
      Leaving.insert(Machine.Address);
  Services.setLeaving(std::move(Leaving));
  logUpdate("fleet", Version, Source, "in_force");
  if (ChangeHandler)
    ChangeHandler();
  return true;
}

void ActiveDocuments::logUpdate(std::string_view Document,
                                std::uint64_t OfferedNumber,
                                std::string_view Source,
                                std::string_view Decision) const {
  LogLine Line("document");
  Line.field("name", Document)
      .field("number", OfferedNumber)
      .field("source", Source)
      .field("decision", Decision);
  Decisions.write(Line);
}

} // namespace comfreyrill
