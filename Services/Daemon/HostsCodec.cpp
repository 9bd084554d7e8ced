#include "HostsCodec.h"

#include <LibCore/Hash.h>
#include <LibJson/JsonReader.h>

#include <boost/json.hpp>

namespace comfreyrill {

namespace {

constexpr std::size_t HostsMaximum = 4096;
constexpr std::uint64_t MaximumStartMilliseconds = std::uint64_t{1} << 53;

void readEntry(JsonReader Element, HostsObject &Out) {
  HostsEntry Entry;
  std::uint64_t StartedAt = 0;
  bool IsComplete = Element.required("host").identifier(Entry.Host);
  IsComplete &= Element.required("incarnation")
                    .hexadecimalNumber(Entry.Incarnation.Value);
  IsComplete &= Element.required("started_at_ms")
                    .integer(StartedAt, 0, MaximumStartMilliseconds);
  IsComplete &= Element.required("failure_domain").identifier(Entry.Domain);
  IsComplete &= Element.required("peer_address").endpoint(Entry.PeerAddress, 1);
  Entry.StartedAt =
      std::chrono::milliseconds(static_cast<std::int64_t>(StartedAt));
  if (IsComplete)
    Out.Hosts.push_back(std::move(Entry));
}

} // namespace

Result<HostsObject> parseHosts(std::string_view Text) {
  JsonDocument Document(Text);
  HostsObject Out;
  Document.root().required("hosts").array(
      0, HostsMaximum,
      [&](JsonReader Element) { readEntry(std::move(Element), Out); });
  TRY(Document.finish("object hosts", UnknownFields::Ignore));
  std::sort(Out.Hosts.begin(), Out.Hosts.end(),
            [](const HostsEntry &Left, const HostsEntry &Right) {
              return Left.Host < Right.Host;
            });
  return Out;
}

std::string formatHosts(const HostsObject &Object) {
  boost::json::array Hosts;
  for (const HostsEntry &Entry : Object.Hosts) {
    boost::json::object Item;
    Item["host"] = Entry.Host.Value;
    Item["incarnation"] = hexadecimal(Entry.Incarnation.Value);
    Item["started_at_ms"] = Entry.StartedAt.count();
    Item["failure_domain"] = Entry.Domain.Value;
    Item["peer_address"] = formatEndpoint(Entry.PeerAddress);
    Hosts.push_back(std::move(Item));
  }
  return boost::json::serialize(boost::json::object{{"hosts", Hosts}});
}

} // namespace comfreyrill
