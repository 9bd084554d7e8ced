#include "FleetService.h"

#include <LibCore/Hash.h>
#include <LibMembership/Addresses.h>
#include <LibMembership/Observe.h>
#include <LibPeer/HeartbeatConversion.h>

namespace comfreyrill {

namespace {

// Well below the pause threshold of the membership, which takes a longer gap
// for a pause of this process.
constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration ShortestTick = std::chrono::milliseconds(5);
// Callers use at most this many addresses of one answer.
constexpr std::size_t AddressesMaximum = 64;
// Until the others have been heard, a new host takes the fleet to be of the
// usual size, so that it does not use the whole budget alone.
constexpr std::size_t AssumedHosts = 20;
constexpr Duration HearingTime = std::chrono::seconds(3);

} // namespace

FleetService::FleetService(const GatewayContext &Environment,
                           MemberTable &Members, PeerMesh &Mesh)
    : Environment(Environment), Members(Members), Mesh(Mesh),
      TickTimer(Environment.Context) {}

void FleetService::start() {
  asio::co_spawn(
      Environment.Context, [Self = shared_from_this()] { return Self->run(); },
      asio::detached);
}

void FleetService::stop() {
  IsStopped = true;
  TickTimer.cancel();
}

Awaitable<void> FleetService::run() {
  while (!IsStopped) {
    advance(Members, Environment.TimeSource.now());
    sendHeartbeats();
    const TimePoint Now = Environment.TimeSource.now();
    TickTimer.expires_at(
        std::min(Now + TickInterval,
                 std::max(nextHeartbeat(Members), Now + ShortestTick)));
    co_await TickTimer.async_wait(UseTuple);
  }
}

void FleetService::sendHeartbeats() {
  const auto Due = dueHeartbeats(Members, Environment.TimeSource.now(),
                                 Environment.Generator);
  for (const OutgoingHeartbeat &Outgoing : Due) {
    wire::PeerBody Body;
    Body.__set_heartbeat(toWire(Outgoing.Content));
    // A heartbeat that cannot be sent is replaced by the next one.
    if (!Mesh.send(Outgoing.Remote, Body))
      ++Environment.Figures.counter("heartbeats_dropped_total");
  }
}

void FleetService::handle(const wire::PeerBody &Body, const PeerReply &) {
  if (Body.__isset.heartbeat)
    onHeartbeat(Body.heartbeat);
}

void FleetService::onHeartbeat(const wire::Heartbeat &Message) {
  const auto Content = fromWire(Message);
  if (!Content) {
    ++Environment.Figures.counter("peer_messages_invalid_total");
    return;
  }
  const HostDescription &Sender = Content.value().Sender;
  if (observeHeartbeat(Members, Content.value(),
                       Environment.TimeSource.now()) !=
      HeartbeatVerdict::Joined)
    return;
  LogLine Line("host_joined");
  Line.field("host", Sender.Host.Value)
      .field("incarnation", hexadecimal(Sender.Incarnation.Value));
  Environment.Events.write(LogLevel::Info, "host_joined", Line);
  announce();
}

std::vector<Endpoint> FleetService::callerAddresses() {
  std::vector<Endpoint> Addresses;
  for (CallerAddress &Chosen :
       chooseAddresses(Members, AddressesMaximum, Environment.TimeSource.now(),
                       Environment.Generator))
    Addresses.push_back(std::move(Chosen.Address));
  return Addresses;
}

std::size_t FleetService::budgetHosts() const {
  const std::size_t Known = Members.Peers.size() + 1;
  const bool IsNew =
      Environment.TimeSource.now() - Members.Started < HearingTime;
  return IsNew ? std::max(Known, AssumedHosts) : Known;
}

} // namespace comfreyrill
