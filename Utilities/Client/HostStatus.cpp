#include <Client/HostStatus.h>

#include <LibCore/Hash.h>

#include <LibJson/JsonReader.h>

#include <limits>

namespace comfreyrill {

namespace json = boost::json;

namespace {

constexpr std::uint64_t NoLimit = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t CountLimit = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t AddressBytes = 64;
constexpr Duration PauseLimit = std::chrono::hours(24);

HostDescription readHost(JsonReader &Reader) {
  HostDescription Host;
  Reader.required("host").identifier(Host.Host);
  Reader.required("incarnation").hexadecimalNumber(Host.Incarnation.Value);
  Reader.required("failure_domain").identifier(Host.Domain);
  Reader.required("state").string(Host.State, 1, 32);
  Reader.required("manifest_number").integer(Host.InForce.Value, 0, NoLimit);
  Reader.optional("caller_address").string(Host.CallerAddress, 0, AddressBytes);
  Reader.optional("peer_address").string(Host.PeerAddress, 0, AddressBytes);
  Reader.optional("admin_address").string(Host.AdminAddress, 0, AddressBytes);
  return Host;
}

TargetStatus readTarget(JsonReader Reader) {
  TargetStatus Target;
  Reader.required("id").identifier(Target.Id);
  Reader.required("address").string(Target.Address, 1, AddressBytes);
  Reader.required("failure_domain").identifier(Target.Domain);
  Reader.required("slots").integer(Target.Slots, 0, CountLimit);
  Reader.required("in_flight").integer(Target.InFlight, 0, CountLimit);
  Reader.optional("reported_in_flight")
      .integer(Target.ReportedInFlight, 0, CountLimit);
  Reader.optional("draining").boolean(Target.IsDraining);
  Reader.optional("paused_ms")
      .duration(Target.PauseLeft, Duration::zero(), PauseLimit);
  Reader.optional("ejected").boolean(Target.IsEjected);
  return Target;
}

ServiceStatus readService(JsonReader Reader) {
  ServiceStatus Service;
  Reader.required("name").identifier(Service.Name);
  Reader.optional("queued").integer(Service.Queued, 0, CountLimit);
  Reader.required("targets").array(
      0, JsonReader::NoMaximum, [&](JsonReader Element) {
        Service.Targets.push_back(readTarget(std::move(Element)));
      });
  return Service;
}

} // namespace

Result<HostStatus> parseHostStatus(std::string_view Text) {
  JsonDocument Document(Text, {std::size_t{8} * 1024 * 1024, 16});
  JsonReader Root = Document.root();
  HostStatus Status;
  Status.Self = readHost(Root);
  Root.required("peers").array(
      0, JsonReader::NoMaximum,
      [&](JsonReader Element) { Status.Peers.push_back(readHost(Element)); });
  Root.required("services")
      .array(0, JsonReader::NoMaximum, [&](JsonReader Element) {
        Status.Services.push_back(readService(std::move(Element)));
      });
  TRY(Document.finish("status of the host", UnknownFields::Ignore));
  return Status;
}

json::value hostToJson(const HostDescription &Host) {
  return json::object{{"host", Host.Host.Value},
                      {"incarnation", hexadecimal(Host.Incarnation.Value)},
                      {"failure_domain", Host.Domain.Value},
                      {"state", Host.State},
                      {"manifest_number", Host.InForce.Value},
                      {"caller_address", Host.CallerAddress},
                      {"peer_address", Host.PeerAddress},
                      {"admin_address", Host.AdminAddress}};
}

json::value serviceToJson(const ServiceStatus &Service) {
  json::array Targets;
  for (const TargetStatus &Target : Service.Targets)
    Targets.push_back(json::object{
        {"id", Target.Id.Value},
        {"address", Target.Address},
        {"failure_domain", Target.Domain.Value},
        {"slots", Target.Slots},
        {"in_flight", Target.InFlight},
        {"reported_in_flight", Target.ReportedInFlight},
        {"draining", Target.IsDraining},
        {"paused_ms",
         std::chrono::ceil<std::chrono::milliseconds>(Target.PauseLeft)
             .count()},
        {"ejected", Target.IsEjected}});
  return json::object{{"name", Service.Name.Value},
                      {"queued", Service.Queued},
                      {"targets", std::move(Targets)}};
}

} // namespace comfreyrill
