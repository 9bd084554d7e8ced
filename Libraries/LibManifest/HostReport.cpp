#include <LibManifest/HostReport.h>

#include <LibCore/Hash.h>

#include <LibJson/JsonReader.h>
#include <LibManifest/PlatformLimits.h>

#include <boost/json/serialize.hpp>
#include <limits>

namespace comfreyrill {

namespace json = boost::json;

Result<HostReport> parseHostReport(std::string_view Text) {
  constexpr auto NoLimit = std::numeric_limits<std::uint64_t>::max();
  JsonDocument Document(Text, {MaximumPlatformValueBytes, 16});
  HostReport Report;
  Document.root().required("hosts").array(
      0, JsonReader::NoMaximum, [&](JsonReader Element) {
        HostReportEntry Entry;
        Element.required("host").identifier(Entry.Host);
        Element.required("incarnation")
            .hexadecimalNumber(Entry.Incarnation.Value);
        Element.required("state").string(Entry.State, 1, 32);
        Element.required("manifest_number")
            .integer(Entry.InForce.Value, 0, NoLimit);
        Element.required("admin_address").endpoint(Entry.AdminAddress, 1);
        Report.Hosts.push_back(std::move(Entry));
      });
  TRY(Document.finish("report", UnknownFields::Ignore));
  return Report;
}

std::string formatHostReport(const HostReport &Report) {
  json::array Hosts;
  for (const HostReportEntry &Entry : Report.Hosts)
    Hosts.push_back(
        json::object{{"host", Entry.Host.Value},
                     {"incarnation", hexadecimal(Entry.Incarnation.Value)},
                     {"state", Entry.State},
                     {"manifest_number", Entry.InForce.Value},
                     {"admin_address", formatEndpoint(Entry.AdminAddress)}});
  return json::serialize(json::object{{"hosts", std::move(Hosts)}});
}

} // namespace comfreyrill
