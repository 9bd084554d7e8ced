#include <LibPeer/HeartbeatConversion.h>

namespace comfreyrill {

namespace {

// Configured names are never longer; accepting longer ones would waste memory.
constexpr std::size_t MaximumNameBytes = 255;

std::string wireAddress(const Endpoint &Value) {
  return Value.Address.empty() ? std::string() : formatEndpoint(Value);
}

wire::HostState::type wireState(HostState State) {
  switch (State) {
  case HostState::Starting:
    return wire::HostState::STARTING;
  case HostState::Ready:
    return wire::HostState::READY;
  case HostState::Leaving:
    break;
  }
  return wire::HostState::LEAVING;
}

HostState readState(wire::HostState::type State) {
  switch (State) {
  case wire::HostState::READY:
    return HostState::Ready;
  case wire::HostState::LEAVING:
    return HostState::Leaving;
  default:
    return HostState::Starting;
  }
}

Result<Endpoint> optionalEndpoint(const std::string &Text) {
  if (Text.empty())
    return Endpoint{};
  return parseEndpoint(Text);
}

} // namespace

wire::HostDescription toWire(const HostDescription &Host) {
  wire::HostDescription Result;
  Result.host = Host.Host.Value;
  Result.incarnation = static_cast<std::int64_t>(Host.Incarnation.Value);
  Result.failure_domain = Host.Domain.Value;
  Result.peer_address = wireAddress(Host.PeerAddress);
  Result.caller_address = wireAddress(Host.CallerAddress);
  Result.admin_address = wireAddress(Host.AdminAddress);
  Result.state = wireState(Host.State);
  Result.manifest_number = static_cast<std::int64_t>(Host.Manifest.Value);
  if (Host.FleetVersion != 0)
    Result.__set_fleet_version(static_cast<std::int64_t>(Host.FleetVersion));
  if (!Host.ReachesPlatform)
    Result.__set_reaches_platform(false);
  if (Host.WatchesStore)
    Result.__set_watches_store(true);
  if (Host.isComplete())
    Result.__set_started_at_ms(Host.StartedAt.count());
  return Result;
}

Result<HostDescription> fromWire(const wire::HostDescription &Host) {
  if (Host.host.empty() || Host.host.size() > MaximumNameBytes ||
      Host.failure_domain.size() > MaximumNameBytes)
    return Error{ErrorKind::InvalidInput,
                 "a peer sent a host id or a failure domain that is empty or "
                 "too long; check that its address belongs to a host"};
  HostDescription Converted;
  Converted.Host = HostId(Host.host);
  Converted.Incarnation = {static_cast<std::uint64_t>(Host.incarnation)};
  Converted.Domain = FailureDomain(Host.failure_domain);
  TRY(Converted.PeerAddress, optionalEndpoint(Host.peer_address));
  TRY(Converted.CallerAddress, optionalEndpoint(Host.caller_address));
  TRY(Converted.AdminAddress, optionalEndpoint(Host.admin_address));
  Converted.State = readState(Host.state);
  Converted.Manifest = {static_cast<std::uint64_t>(Host.manifest_number)};
  Converted.FleetVersion = static_cast<std::uint64_t>(Host.fleet_version);
  Converted.ReachesPlatform =
      !Host.__isset.reaches_platform || Host.reaches_platform;
  Converted.WatchesStore = Host.__isset.watches_store && Host.watches_store;
  Converted.StartedAt = std::chrono::milliseconds(Host.started_at_ms);
  Converted.Sequence = static_cast<std::uint64_t>(Host.sequence);
  return Converted;
}

wire::Heartbeat toWire(const Heartbeat &Content) {
  wire::Heartbeat Result;
  Result.sender = toWire(Content.Sender);
  Result.sequence = static_cast<std::int64_t>(Content.Sender.Sequence);
  if (Content.Known.empty())
    return Result;
  Result.__isset.known = true;
  Result.known.reserve(Content.Known.size());
  for (const auto &Known : Content.Known) {
    Result.known.push_back(toWire(Known));
    Result.known.back().__set_sequence(
        static_cast<std::int64_t>(Known.Sequence));
  }
  return Result;
}

Result<Heartbeat> fromWire(const wire::Heartbeat &Content) {
  Heartbeat Converted;
  TRY(Converted.Sender, fromWire(Content.sender));
  Converted.Sender.Sequence = static_cast<std::uint64_t>(Content.sequence);
  Converted.Known.reserve(Content.known.size());
  for (const auto &Known : Content.known) {
    auto Valid = fromWire(Known);
    if (Valid)
      Converted.Known.push_back(std::move(Valid.value()));
  }
  return Converted;
}

wire::DomainReport toWire(const DomainReport &Content) {
  wire::DomainReport Result;
  Result.failure_domain = Content.Domain.Value;
  Result.peer_address = formatEndpoint(Content.Sender);
  Result.digest = static_cast<std::int64_t>(Content.Digest);
  Result.manifest_number = static_cast<std::int64_t>(Content.Manifest.Value);
  Result.targets_revision = static_cast<std::int64_t>(Content.TargetsRevision);
  if (Content.IsRelayed)
    Result.__set_relayed(true);
  if (Content.WantsHosts)
    Result.__set_wants_hosts(true);
  if (!Content.Hosts)
    return Result;
  Result.__isset.hosts = true;
  for (const RemoteHost &Host : *Content.Hosts) {
    wire::HostBrief Brief;
    Brief.host = Host.Host.Value;
    Brief.peer_address = wireAddress(Host.PeerAddress);
    Brief.caller_address = wireAddress(Host.CallerAddress);
    Brief.state = wireState(Host.State);
    Result.hosts.push_back(std::move(Brief));
  }
  return Result;
}

Result<DomainReport> fromWire(const wire::DomainReport &Content) {
  DomainReport Converted;
  if (Content.failure_domain.empty() ||
      Content.failure_domain.size() > MaximumNameBytes)
    return Error{ErrorKind::InvalidInput,
                 "a peer sent a report without a failure domain; check that "
                 "its address belongs to a host"};
  Converted.Domain = FailureDomain(Content.failure_domain);
  TRY(Converted.Sender, parseEndpoint(Content.peer_address));
  Converted.Digest = static_cast<std::uint64_t>(Content.digest);
  Converted.Manifest = {static_cast<std::uint64_t>(Content.manifest_number)};
  Converted.TargetsRevision =
      static_cast<std::uint64_t>(Content.targets_revision);
  Converted.IsRelayed = Content.__isset.relayed && Content.relayed;
  Converted.WantsHosts = Content.__isset.wants_hosts && Content.wants_hosts;
  if (!Content.__isset.hosts)
    return Converted;
  Converted.Hosts.emplace();
  for (const wire::HostBrief &Brief : Content.hosts) {
    RemoteHost Host;
    Host.Host = HostId(Brief.host);
    TRY(Host.PeerAddress, parseEndpoint(Brief.peer_address));
    TRY(Host.CallerAddress, parseEndpoint(Brief.caller_address));
    Host.State = readState(Brief.state);
    Converted.Hosts->push_back(std::move(Host));
  }
  return Converted;
}

} // namespace comfreyrill
