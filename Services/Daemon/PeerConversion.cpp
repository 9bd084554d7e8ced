#include "PeerConversion.h"

namespace comfreyrill {

namespace {

std::string addressText(const Endpoint &Address) {
  return Address.Address.empty() ? std::string() : formatEndpoint(Address);
}

Result<Endpoint> addressOf(const std::string &Text) {
  if (Text.empty())
    return Endpoint{};
  return parseEndpoint(Text);
}

} // namespace

wire::HostDescription toWire(const HostDescription &Description) {
  wire::HostDescription Message;
  Message.__set_host(Description.Host.Value);
  Message.__set_incarnation(
      static_cast<std::int64_t>(Description.Incarnation.Value));
  Message.__set_failure_domain(Description.Domain.Value);
  Message.__set_peer_address(addressText(Description.PeerAddress));
  Message.__set_caller_address(addressText(Description.CallerAddress));
  Message.__set_admin_address(addressText(Description.AdminAddress));
  Message.__set_state(static_cast<wire::HostState::type>(
      static_cast<int>(Description.State) + 1));
  Message.__set_manifest_number(
      static_cast<std::int64_t>(Description.Manifest.Value));
  Message.__set_fleet_version(
      static_cast<std::int64_t>(Description.FleetVersion));
  Message.__set_sequence(static_cast<std::int64_t>(Description.Sequence));
  if (!Description.ReachesPlatform)
    Message.__set_reaches_platform(false);
  Message.__set_started_at_ms(Description.StartedAt.count());
  return Message;
}

Result<HostDescription> fromWire(const wire::HostDescription &Message) {
  const int State = static_cast<int>(Message.state) - 1;
  if (Message.host.empty() || State < static_cast<int>(HostState::Starting) ||
      State > static_cast<int>(HostState::Leaving))
    return Error{ErrorKind::InvalidInput,
                 "a heartbeat has no host or an unknown state; bring the "
                 "sending host to this version"};
  HostDescription Description;
  Description.Host = HostId(Message.host);
  Description.Incarnation.Value =
      static_cast<std::uint64_t>(Message.incarnation);
  Description.Domain = FailureDomain(Message.failure_domain);
  TRY(Description.PeerAddress, addressOf(Message.peer_address));
  TRY(Description.CallerAddress, addressOf(Message.caller_address));
  TRY(Description.AdminAddress, addressOf(Message.admin_address));
  Description.State = static_cast<HostState>(State);
  Description.Manifest.Value =
      static_cast<std::uint64_t>(Message.manifest_number);
  if (Message.__isset.fleet_version)
    Description.FleetVersion =
        static_cast<std::uint64_t>(Message.fleet_version);
  if (Message.__isset.sequence)
    Description.Sequence = static_cast<std::uint64_t>(Message.sequence);
  if (Message.__isset.reaches_platform)
    Description.ReachesPlatform = Message.reaches_platform;
  if (Message.__isset.started_at_ms)
    Description.StartedAt = std::chrono::milliseconds(Message.started_at_ms);
  return Description;
}

wire::Heartbeat toWire(const Heartbeat &Content) {
  wire::Heartbeat Message;
  Message.__set_sender(toWire(Content.Sender));
  Message.__set_sequence(static_cast<std::int64_t>(Content.Sender.Sequence));
  if (!Content.Known.empty()) {
    std::vector<wire::HostDescription> Known;
    Known.reserve(Content.Known.size());
    for (const HostDescription &Description : Content.Known)
      Known.push_back(toWire(Description));
    Message.__set_known(Known);
  }
  return Message;
}

Result<Heartbeat> fromWire(const wire::Heartbeat &Message) {
  Heartbeat Content;
  TRY(Content.Sender, fromWire(Message.sender));
  Content.Sender.Sequence = static_cast<std::uint64_t>(Message.sequence);
  if (Message.__isset.known) {
    for (const wire::HostDescription &Entry : Message.known) {
      auto Description = fromWire(Entry);
      if (Description)
        Content.Known.push_back(std::move(Description.value()));
    }
  }
  return Content;
}

} // namespace comfreyrill
