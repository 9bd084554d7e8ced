#include "EvacuationExchange.h"

#include <algorithm>

namespace comfreyrill {

namespace {

// A host that was cut off learns of an evacuation from the first repeat after
// that. Evacuations must be in force within 5 s.
constexpr Duration RepeatInterval = std::chrono::seconds(1);
// More than any fleet has; a longer list is a malformed message.
constexpr std::size_t DomainsMaximum = 1000;

wire::EvacuationList toWire(const EvacuationReport &Report) {
  wire::EvacuationList List;
  List.revision = static_cast<std::int64_t>(Report.Revision.Value);
  for (const FailureDomain &Domain : Report.Domains)
    List.failure_domains.push_back(Domain.Value);
  return List;
}

} // namespace

EvacuationExchange::EvacuationExchange(const GatewayDependencies &Dependencies,
                                       const MemberTable &Members,
                                       const DomainTable &Domains,
                                       PeerMesh &Mesh)
    : Dependencies(Dependencies), Members(Members), Domains(Domains),
      Mesh(Mesh), RepeatTimer(Dependencies.Context) {}

void EvacuationExchange::start() {
  asio::co_spawn(
      Dependencies.Context, [Self = shared_from_this()] { return Self->run(); },
      asio::detached);
}

void EvacuationExchange::setEnabled(bool Enabled) {
  if (Enabled == IsEnabled)
    return;
  IsEnabled = Enabled;
  Dependencies.CurrentState.setHasEvacuations(Enabled);
  if (!IsEnabled)
    Dependencies.CurrentState.forgetEvacuations();
  Published.reset();
  RepeatTimer.cancel();
}

// Sleeps where there are no evacuations, because each wake-up costs processor
// time.
Awaitable<void> EvacuationExchange::run() {
  while (true) {
    RepeatTimer.expires_at(IsEnabled
                               ? Dependencies.TimeSource.now() + RepeatInterval
                               : TimePoint::max());
    co_await RepeatTimer.async_wait(UseTuple);
    if (!IsEnabled || !isRepeater(Dependencies.TimeSource.now()))
      continue;
    sendToOwnDomain();
    sendToOtherDomains();
  }
}

bool EvacuationExchange::isRepeater(TimePoint Now) const {
  if (Members.Self.WatchesStore)
    return true;
  const auto Others = alivePeers(Members, Now);
  return isDelegate(Members, Now) &&
         std::none_of(Others.begin(), Others.end(), [](const Peer *Other) {
           return Other->Description.WatchesStore;
         });
}

void EvacuationExchange::publish() {
  std::set<FailureDomain> Current =
      evacuatedDomains(Dependencies.CurrentState.evacuations());
  if (!IsEnabled || Current == Published)
    return;
  Published = std::move(Current);
  sendToOwnDomain();
  sendToOtherDomains();
}

// A host has its configuration within milliseconds of its start, well before
// the next repeat, and serves no callers until it is told that no domain is
// evacuated.
void EvacuationExchange::onJoin(const Endpoint &Joined) {
  if (IsEnabled)
    send(Joined);
}

// A delegate passes on what is news to it, so a report reaches each host once
// and does not go round.
void EvacuationExchange::onNotice(const wire::EvacuationList &Notice) {
  if (!IsEnabled)
    return;
  if (Notice.revision < 0 || Notice.failure_domains.size() > DomainsMaximum) {
    ++Dependencies.ProcessMetrics.counter("peer_messages_invalid_total");
    return;
  }
  EvacuationReport Report;
  Report.Revision = {static_cast<std::uint64_t>(Notice.revision)};
  for (const std::string &Domain : Notice.failure_domains)
    Report.Domains.emplace(Domain);
  const bool IsNews =
      Dependencies.CurrentState.applyEvacuationReport(Report, "host");
  Published = evacuatedDomains(Dependencies.CurrentState.evacuations());
  if (!IsNews || !isDelegate(Members, Dependencies.TimeSource.now()))
    return;
  sendToOwnDomain();
  sendToOtherDomains();
}

void EvacuationExchange::sendToOwnDomain() {
  for (const Peer *Other : alivePeers(Members, Dependencies.TimeSource.now()))
    send(Other->Description.PeerAddress);
}

void EvacuationExchange::sendToOtherDomains() {
  for (const Endpoint &Remote : remoteDelegates(Domains))
    send(Remote);
}

void EvacuationExchange::send(const Endpoint &Remote) {
  for (const EvacuationReport &Report :
       makeReports(Dependencies.CurrentState.evacuations())) {
    wire::LoadNotice Notice;
    Notice.__set_evacuations(toWire(Report));
    wire::PeerBody Body;
    Body.__set_load_notice(Notice);
    if (!Mesh.send(Remote, Body))
      ++Dependencies.ProcessMetrics.counter("evacuation_notices_dropped_total");
  }
}

} // namespace comfreyrill
