#include <LibManifest/FleetList.h>

#include <LibCore/Endpoint.h>
#include <LibJson/JsonReader.h>
#include <LibManifest/PlatformLimits.h>

#include <boost/json/serialize.hpp>
#include <unordered_set>

namespace comfreyrill {

namespace json = boost::json;

namespace {

// Normalizes an IP address, so that addresses of machines and targets compare
// equal.
Result<std::string> canonicalAddress(std::string_view Text) {
  const bool IsVersion6 = Text.find(':') != std::string_view::npos;
  const std::string Host(Text);
  TRY(Endpoint Parsed,
      parseEndpoint((IsVersion6 ? "[" + Host + "]" : Host) + ":0"));
  return std::move(Parsed.Address);
}

} // namespace

bool FleetList::isLeaving(std::string_view Address) const {
  bool IsListedLeaving = false;
  for (const FleetMachine &Machine : Machines) {
    if (Machine.Address != Address)
      continue;
    if (Machine.State == FleetState::Live)
      return false;
    IsListedLeaving = true;
  }
  return IsListedLeaving;
}

Result<FleetList> parseFleetList(std::string_view Text) {
  JsonDocument Document(Text, {MaximumPlatformValueBytes, 16});
  FleetList Fleet;
  std::unordered_set<std::string> Seen;
  Document.root().required("hosts").array(
      0, JsonReader::NoMaximum, [&](JsonReader Element) {
        FleetMachine Machine;
        Element.required("host").identifier(Machine.Host);
        const bool HasAddress = Element.required("address").matchingText(
            Machine.Address, "a numeric IP address without a port",
            [](auto Text) { return canonicalAddress(Text).has_value(); });
        Element.required("state").enumeration<FleetState>(
            Machine.State,
            {{"live", FleetState::Live}, {"leaving", FleetState::Leaving}});
        if (HasAddress)
          Machine.Address = canonicalAddress(Machine.Address).value();
        // A replacement machine may have the name of the old one at another
        // address, so only the pair has to be unique.
        if (HasAddress &&
            !Seen.insert(Machine.Host.Value + " " + Machine.Address).second)
          Document.addFault({Element.path(), "the same host and address again",
                             "one entry for each host and address"});
        Fleet.Machines.push_back(std::move(Machine));
      });
  TRY(Document.finish("fleet list", UnknownFields::Ignore));
  return Fleet;
}

std::string formatFleetList(const FleetList &Fleet) {
  json::array Hosts;
  for (const FleetMachine &Machine : Fleet.Machines)
    Hosts.push_back(json::object{
        {"host", Machine.Host.Value},
        {"address", Machine.Address},
        {"state", Machine.State == FleetState::Live ? "live" : "leaving"}});
  return json::serialize(json::object{{"hosts", std::move(Hosts)}});
}

} // namespace comfreyrill
