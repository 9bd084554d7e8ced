#include "PeerService.h"

#include <LibCore/Hash.h>

#include <LibMembership/HeartbeatProcessing.h>
#include <LibPeer/HeartbeatConversion.h>

namespace comfreyrill {

namespace {

// Well below the pause threshold of the membership protocol, which treats a
// longer gap as a pause of this process.
constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration MinimumTickInterval = std::chrono::milliseconds(5);
constexpr Duration FetchTimeout = std::chrono::seconds(1);
constexpr std::string_view ManifestName = "manifest";
constexpr std::string_view FleetName = "fleet";

std::string_view documentName(DocumentKind Kind) {
  return Kind == DocumentKind::Manifest ? ManifestName : FleetName;
}

} // namespace

PeerService::PeerService(const DaemonDependencies &Dependencies,
                         MemberTable &Members, ActiveDocuments &Documents,
                         KeyedCalls &Keys, QuarantineService &Quarantine,
                         Prober &Probes, PeerMesh &Mesh)
    : Dependencies(Dependencies), Members(Members), Documents(Documents),
      Keys(Keys), Quarantine(Quarantine), Probes(Probes), Mesh(Mesh),
      TickTimer(Dependencies.Context) {}

void PeerService::start() {
  asio::co_spawn(
      Dependencies.Context, [Self = shared_from_this()] { return Self->run(); },
      asio::detached);
}

void PeerService::stop() {
  IsStopped = true;
  TickTimer.cancel();
}

Awaitable<void> PeerService::run() {
  while (!IsStopped) {
    tick();
    const TimePoint Now = Dependencies.TimeSource.now();
    TickTimer.expires_at(
        std::min(Now + TickInterval,
                 std::max(nextHeartbeat(Members), Now + MinimumTickInterval)));
    co_await TickTimer.async_wait(UseTuple);
  }
}

void PeerService::tick() {
  expirePeers(Members, Dependencies.TimeSource.now());
  Keys.removeOldRecords();
  fetchDocuments();
  sendHeartbeats();
}

void PeerService::announce() { TickTimer.cancel(); }

void PeerService::sendHeartbeats() {
  const auto Due = dueHeartbeats(Members, Dependencies.TimeSource.now(),
                                 Dependencies.Generator);
  for (const OutgoingHeartbeat &Outgoing : Due) {
    wire::Heartbeat Message = toWire(Outgoing.Content);
    if (Outgoing.Content.Sender.isComplete())
      Message.__set_key_secret(Keys.secret());
    wire::PeerBody Body;
    Body.__set_heartbeat(Message);
    // A dropped heartbeat is not retried; the next one supersedes it.
    if (!Mesh.send(Outgoing.Remote, Body))
      ++Dependencies.ProcessMetrics.counter("heartbeats_dropped_total");
  }
}

void PeerService::handle(const wire::PeerBody &Body, const PeerReply &Reply) {
  if (Body.__isset.heartbeat)
    onHeartbeat(Body.heartbeat);
  else if (Body.__isset.grant_request)
    Reply.send(Keys.onGrantRequest(Body.grant_request));
  else if (Body.__isset.seal_request)
    Reply.send(Keys.onSealRequest(Body.seal_request));
  else if (Body.__isset.outcome_notice)
    Keys.onOutcomeNotice(Body.outcome_notice);
  else if (Body.__isset.crash_evidence)
    Quarantine.onEvidence(Body.crash_evidence);
  else if (Body.__isset.probe_notice)
    Probes.onNotice(Body.probe_notice);
  else if (Body.__isset.document_request)
    onDocumentRequest(Body.document_request, Reply);
}

void PeerService::onHeartbeat(const wire::Heartbeat &Message) {
  const auto Content = fromWire(Message);
  if (!Content) {
    ++Dependencies.ProcessMetrics.counter("peer_messages_invalid_total");
    return;
  }
  const HostDescription &Sender = Content.value().Sender;
  const HeartbeatVerdict Verdict =
      processHeartbeat(Members, Content.value(), Dependencies.TimeSource.now());
  if (Verdict != HeartbeatVerdict::Accepted &&
      Verdict != HeartbeatVerdict::Joined)
    return;
  if (Message.__isset.key_secret)
    Keys.onIssuerSecret(Sender.Incarnation, Message.key_secret);
  if (Verdict == HeartbeatVerdict::Joined) {
    LogLine Line("host_joined");
    Line.field("host", Sender.Host.Value)
        .field("incarnation", hexadecimal(Sender.Incarnation.Value));
    Dependencies.Decisions.write(Line);
    if (Sender.isComplete())
      Quarantine.sendSnapshot(Sender.PeerAddress);
    announce();
  }
  fetchDocuments();
}

void PeerService::onDocumentRequest(const wire::DocumentRequest &Message,
                                    const PeerReply &Reply) const {
  const bool IsManifest = Message.name == ManifestName;
  const std::string &Text =
      IsManifest ? Documents.manifestText() : Documents.fleetText();
  const std::uint64_t Number =
      IsManifest ? Documents.number().Value : Documents.fleetVersion();
  wire::PeerBody Body;
  if ((!IsManifest && Message.name != FleetName) || Text.empty() ||
      Number <= static_cast<std::uint64_t>(Message.newer_than)) {
    wire::ErrorReply Refusal;
    Refusal.__set_message("no newer " + Message.name +
                          " on this host; ask another host");
    Body.__set_error(Refusal);
  } else {
    wire::DocumentReply Document;
    Document.__set_name(Message.name);
    Document.__set_number(static_cast<std::int64_t>(Number));
    Document.__set_value(Text);
    Body.__set_document_reply(Document);
  }
  Reply.send(Body);
}

void PeerService::fetchDocuments() {
  for (const DocumentKind Kind :
       {DocumentKind::Manifest, DocumentKind::FleetList}) {
    auto Source = chooseDocumentSource(
        Members, Kind, Dependencies.TimeSource.now(), Dependencies.Generator);
    if (Source)
      asio::co_spawn(
          Dependencies.Context,
          [Self = shared_from_this(), Kind, Chosen = std::move(*Source)] {
            return Self->fetchDocument(Kind, Chosen);
          },
          asio::detached);
  }
}

Awaitable<void> PeerService::fetchDocument(DocumentKind Kind,
                                           DocumentSource Source) {
  const bool IsManifest = Kind == DocumentKind::Manifest;
  wire::DocumentRequest Request;
  Request.__set_name(std::string(documentName(Kind)));
  Request.__set_newer_than(static_cast<std::int64_t>(
      IsManifest ? Documents.number().Value : Documents.fleetVersion()));
  wire::PeerBody Body;
  Body.__set_document_request(Request);
  const auto Reply = co_await Mesh.request(
      Source.Remote, Body, Dependencies.TimeSource.now() + FetchTimeout);
  if (!Reply || !Reply.value().__isset.document_reply)
    co_return;
  const wire::DocumentReply &Document = Reply.value().document_reply;
  const std::string SourceName = "peer:" + Source.Host.Value;
  const auto Updated =
      IsManifest ? Documents.updateManifest(Document.value, SourceName)
                 : Documents.updateFleetList(
                       static_cast<std::uint64_t>(Document.number),
                       Document.value, SourceName);
  if (!Updated) {
    LogLine Line("document_refused");
    Line.field("name", documentName(Kind))
        .field("source", SourceName)
        .field("cause", Updated.error().Message);
    Dependencies.Decisions.warn(Line);
  }
}

// A peer whose heartbeats arrive but that cannot be reached (a link cut in one
// direction) is not ready as a witness, because every grant request to it would
// time out.
PeerDirectory makePeerDirectory(const MemberTable &Members,
                                const PeerMesh &Mesh, const Clock &TimeSource) {
  PeerDirectory Directory;
  Directory.Find =
      [&Members,
       &TimeSource](const HostProcess &Wanted) -> std::optional<PeerAddresses> {
    const Peer *Found = findPeer(Members, Wanted.Host);
    if (Found == nullptr ||
        Found->Description.Incarnation != Wanted.Incarnation ||
        !Found->Description.isComplete())
      return std::nullopt;
    return PeerAddresses{
        Found->Description.PeerAddress, Found->Description.CallerAddress,
        liveness(Members, *Found, TimeSource.now()) == Liveness::Alive};
  };
  Directory.Candidates = [&Members, &Mesh, &TimeSource] {
    std::vector<WitnessCandidate> Candidates;
    const TimePoint Now = TimeSource.now();
    for (const Peer &Other : Members.Peers)
      Candidates.push_back(
          {{Other.Description.Host, Other.Description.Incarnation},
           Other.Description.Domain,
           Other.Description.State == HostState::Ready &&
               Mesh.isConnected(Other.Description.PeerAddress) &&
               liveness(Members, Other, Now) == Liveness::Alive});
    return Candidates;
  };
  return Directory;
}

} // namespace comfreyrill
