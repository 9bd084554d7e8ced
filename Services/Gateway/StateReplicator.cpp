#include "StateReplicator.h"

#include "TargetUpdateCodec.h"

#include <LibCore/Compression.h>
#include <platform/StoreCodec.h>

namespace comfreyrill {

namespace {

constexpr Duration FetchTimeout = std::chrono::seconds(1);
// The configuration is sent compressed: the text of one with 1,800 routes would
// occupy the link of a small host for a third of a second per host that fetches
// the document.
constexpr std::string_view ConfigurationDocument = "configuration.zlib";
// Limit on the decompressed text. The store holds values of at most 1 MB.
constexpr std::size_t ConfigurationBytesMaximum = std::size_t{4} * 1024 * 1024;
constexpr std::string_view TargetsDocument = "targets";

} // namespace

StateReplicator::StateReplicator(const GatewayDependencies &Dependencies,
                                 MemberTable &Members, DomainTable &Domains,
                                 PeerMesh &Mesh)
    : Dependencies(Dependencies), Members(Members), Domains(Domains),
      Mesh(Mesh) {}

// All hosts of the failure domain receive a push, so its receivers need not
// announce its revision at once. The number of announcements would grow with
// the square of the hosts.
void StateReplicator::publish(UpdateSource Source) {
  const TimePoint Now = Dependencies.TimeSource.now();
  const TargetDelta Delta = Dependencies.CurrentState.takePendingDelta();
  if (Source == UpdateSource::Store && !Delta.Changes.empty()) {
    wire::PeerBody Body;
    Body.__set_target_update(toWire(Delta));
    for (const Peer &Other : Members.Peers)
      if (liveness(Members, Other, Now) != Liveness::Lost &&
          !Mesh.send(Other.Description.PeerAddress, Body))
        ++Dependencies.ProcessMetrics.counter("target_updates_dropped_total");
  }
  announceManifestNumber(Members, {Dependencies.CurrentState.version().Value},
                         Now);
  const std::uint64_t Revision =
      Dependencies.CurrentState.targets().Revision.Value;
  if (Source == UpdateSource::Push)
    recordFleetVersion(Members, Revision);
  else
    announceFleetVersion(Members, Revision, Now);
  if (OnChange)
    OnChange();
}

void StateReplicator::tick() {
  fetchFromDomain();
  fetchFromOtherDomains();
}

void StateReplicator::fetchFromDomain() {
  for (const DocumentKind Kind :
       {DocumentKind::Manifest, DocumentKind::FleetList}) {
    const auto Source = chooseDocumentSource(
        Members, Kind, Dependencies.TimeSource.now(), Dependencies.Generator);
    if (Source)
      asio::co_spawn(Dependencies.Context, fetch(Kind, Source->Remote),
                     asio::detached);
  }
}

void StateReplicator::fetchFromOtherDomains() {
  const TimePoint Now = Dependencies.TimeSource.now();
  if (!isDelegate(Members, Now))
    return;
  // Other domains are asked even if a host of this domain watches the store,
  // because its connection may be dead without the host having noticed yet.
  for (const DocumentKind Kind :
       {DocumentKind::Manifest, DocumentKind::FleetList}) {
    const auto Source = chooseRemoteSource(
        Domains, Kind,
        Kind == DocumentKind::Manifest
            ? Dependencies.CurrentState.version().Value
            : Dependencies.CurrentState.targets().Revision.Value,
        Now);
    if (Source)
      asio::co_spawn(Dependencies.Context, fetch(Kind, *Source),
                     asio::detached);
  }
}

Awaitable<void> StateReplicator::fetch(DocumentKind Kind, Endpoint Remote) {
  const auto Self = shared_from_this();
  const bool IsConfiguration = Kind == DocumentKind::Manifest;
  wire::DocumentRequest Request;
  Request.__set_name(
      std::string(IsConfiguration ? ConfigurationDocument : TargetsDocument));
  Request.__set_newer_than(static_cast<std::int64_t>(
      IsConfiguration ? Dependencies.CurrentState.version().Value
                      : Dependencies.CurrentState.targets().Revision.Value));
  wire::PeerBody Body;
  Body.__set_document_request(Request);
  const auto Reply = co_await Mesh.request(
      Remote, Body, Dependencies.TimeSource.now() + FetchTimeout);
  if (!Reply)
    co_return;
  if (Reply.value().__isset.document_reply)
    handleConfiguration(Reply.value().document_reply.value);
  else if (Reply.value().__isset.target_update)
    onTargetUpdate(Reply.value().target_update, UpdateSource::Fetch);
}

void StateReplicator::handleConfiguration(const std::string &Compressed) {
  const auto Text = decompress(Compressed, ConfigurationBytesMaximum);
  auto Read = Text ? platform::decodeConfiguration(Text.value())
                   : Result<Configuration>(Text.error());
  if (!Read) {
    LogLine Line("configuration_refused");
    Line.field("source", "host").field("cause", Read.error().Message);
    Dependencies.Events.writeAlways(LogLevel::Error, Line);
    return;
  }
  if (Dependencies.CurrentState.applyConfiguration(std::move(Read.value()),
                                                   Compressed, "host"))
    publish(UpdateSource::Fetch);
}

void StateReplicator::onTargetUpdate(const wire::TargetUpdate &Update,
                                     UpdateSource Source) {
  const auto Delta = fromWire(Update);
  if (!Delta) {
    ++Dependencies.ProcessMetrics.counter("peer_messages_invalid_total");
    return;
  }
  // A delta that starts after the current revision is dropped. The sender has
  // announced its higher revision, so this host fetches all targets.
  if (Dependencies.CurrentState.applyTargetDelta(Delta.value(), "host"))
    publish(Source);
}

void StateReplicator::onDocumentRequest(const wire::DocumentRequest &Message,
                                        const PeerReply &Reply) const {
  const auto NewerThan = static_cast<std::uint64_t>(Message.newer_than);
  wire::PeerBody Body;
  if (Message.name == ConfigurationDocument &&
      Dependencies.CurrentState.version().Value > NewerThan) {
    wire::DocumentReply Document;
    Document.__set_name(Message.name);
    Document.__set_number(
        static_cast<std::int64_t>(Dependencies.CurrentState.version().Value));
    Document.__set_value(Dependencies.CurrentState.compressedConfiguration());
    Body.__set_document_reply(Document);
  } else if (Message.name == TargetsDocument &&
             Dependencies.CurrentState.targets().Revision.Value > NewerThan) {
    Body.__set_target_update(toWire(Dependencies.CurrentState.completeDelta()));
  } else {
    wire::ErrorReply Refusal;
    Refusal.__set_message("no newer " + Message.name +
                          " here; ask another host");
    Body.__set_error(Refusal);
  }
  Reply.send(Body);
}

} // namespace comfreyrill
