
#include "KnowledgeExchange.h"

#include "TargetUpdateCodec.h"

#include <LibCore/Compression.h>
#include <platform/StoreCodec.h>

namespace comfreyrill {

namespace {

constexpr Duration FetchTime = std::chrono::seconds(1);
// Sent compressed: with 1,800 routes the text would keep the link of a small
// host busy for a third of a second for each host that fetches it.
constexpr std::string_view ConfigurationDocument = "configuration.zlib";
// The store holds values of 1 MB at most.
constexpr std::size_t ConfigurationBytesMaximum = std::size_t{4} * 1024 * 1024;
constexpr std::string_view TargetsDocument = "targets";

} // namespace

KnowledgeExchange::KnowledgeExchange(const GatewayDependencies &Dependencies,
                                     MemberTable &Members, DomainTable &Domains,
                                     PeerMesh &Mesh)
    : Dependencies(Dependencies), Members(Members), Domains(Domains),
      Mesh(Mesh) {}

void KnowledgeExchange::publish(bool IsFromStore) {
  const TimePoint Now = Dependencies.TimeSource.now();
  const TargetDelta Delta = Dependencies.Known.takeDelta();
  if (IsFromStore && !Delta.Changes.empty()) {
    wire::PeerBody Body;
    Body.__set_target_update(toWire(Delta));
    for (const Peer &Other : Members.Peers)
      if (liveness(Members, Other, Now) != Liveness::Lost &&
          !Mesh.send(Other.Description.PeerAddress, Body))
        ++Dependencies.ProcessMetrics.counter("target_updates_dropped_total");
  }
  announceManifestNumber(Members, {Dependencies.Known.version().Value}, Now);
  announceFleetVersion(Members, Dependencies.Known.targets().Revision.Value,
                       Now);
  if (OnChange)
    OnChange();
}

void KnowledgeExchange::tick() {
  fetchFromDomain();
  fetchFromOtherDomains();
}

void KnowledgeExchange::fetchFromDomain() {
  for (const DocumentKind Kind :
       {DocumentKind::Manifest, DocumentKind::FleetList}) {
    const auto Source = chooseDocumentSource(
        Members, Kind, Dependencies.TimeSource.now(), Dependencies.Generator);
    if (Source)
      asio::co_spawn(Dependencies.Context, fetch(Kind, Source->Remote),
                     asio::detached);
  }
}

void KnowledgeExchange::fetchFromOtherDomains() {
  const TimePoint Now = Dependencies.TimeSource.now();
  if (!isDelegate(Members, Now))
    return;
  // Asked whether or not this domain has a host that follows the store: its
  // connection may be silent without its knowing yet.
  for (const DocumentKind Kind :
       {DocumentKind::Manifest, DocumentKind::FleetList}) {
    const auto Source =
        chooseRemoteSource(Domains, Kind,
                           Kind == DocumentKind::Manifest
                               ? Dependencies.Known.version().Value
                               : Dependencies.Known.targets().Revision.Value,
                           Now);
    if (Source)
      asio::co_spawn(Dependencies.Context, fetch(Kind, *Source),
                     asio::detached);
  }
}

Awaitable<void> KnowledgeExchange::fetch(DocumentKind Kind, Endpoint Remote) {
  const auto Self = shared_from_this();
  const bool IsConfiguration = Kind == DocumentKind::Manifest;
  wire::DocumentRequest Request;
  Request.__set_name(
      std::string(IsConfiguration ? ConfigurationDocument : TargetsDocument));
  Request.__set_newer_than(static_cast<std::int64_t>(
      IsConfiguration ? Dependencies.Known.version().Value
                      : Dependencies.Known.targets().Revision.Value));
  wire::PeerBody Body;
  Body.__set_document_request(Request);
  const auto Reply = co_await Mesh.request(
      Remote, Body, Dependencies.TimeSource.now() + FetchTime);
  if (!Reply)
    co_return;
  if (Reply.value().__isset.document_reply)
    takeConfiguration(Reply.value().document_reply.value);
  else if (Reply.value().__isset.target_update)
    onTargetUpdate(Reply.value().target_update);
}

void KnowledgeExchange::takeConfiguration(const std::string &Compressed) {
  const auto Text = decompress(Compressed, ConfigurationBytesMaximum);
  auto Read = Text ? platform::decodeConfiguration(Text.value())
                   : Result<Configuration>(Text.error());
  if (!Read) {
    LogLine Line("configuration_refused");
    Line.field("source", "host").field("cause", Read.error().Message);
    Dependencies.Events.writeAlways(LogLevel::Error, Line);
    return;
  }
  if (Dependencies.Known.offerConfiguration(std::move(Read.value()), Compressed,
                                            "host"))
    publish(false);
}

void KnowledgeExchange::onTargetUpdate(const wire::TargetUpdate &Update) {
  const auto Delta = fromWire(Update);
  if (!Delta) {
    ++Dependencies.ProcessMetrics.counter("peer_messages_invalid_total");
    return;
  }
  // A gap is closed by fetching: the sender's revision is ahead of this host's.
  if (Dependencies.Known.offerDelta(Delta.value(), "host"))
    publish(false);
}

void KnowledgeExchange::onDocumentRequest(const wire::DocumentRequest &Message,
                                          const PeerReply &Reply) const {
  const auto NewerThan = static_cast<std::uint64_t>(Message.newer_than);
  wire::PeerBody Body;
  if (Message.name == ConfigurationDocument &&
      Dependencies.Known.version().Value > NewerThan) {
    wire::DocumentReply Document;
    Document.__set_name(Message.name);
    Document.__set_number(
        static_cast<std::int64_t>(Dependencies.Known.version().Value));
    Document.__set_value(Dependencies.Known.compressedConfiguration());
    Body.__set_document_reply(Document);
  } else if (Message.name == TargetsDocument &&
             Dependencies.Known.targets().Revision.Value > NewerThan) {
    Body.__set_target_update(toWire(Dependencies.Known.completeDelta()));
  } else {
    wire::ErrorReply Refusal;
    Refusal.__set_message("no newer " + Message.name +
                          " here; ask another host");
    Body.__set_error(Refusal);
  }
  Reply.send(Body);
}

} // namespace comfreyrill
