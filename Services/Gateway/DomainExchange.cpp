#include "DomainExchange.h"

#include <algorithm>

namespace comfreyrill {

namespace {

// A summary is at most two intervals old when the next one arrives through both
// delegates, which is below the age at which it counts as unknown.
constexpr Duration NoticeInterval = std::chrono::milliseconds(400);
// The second delegate relays when the first has not for this time.
constexpr Duration RelaySilentAfter = std::chrono::milliseconds(600);
// Summaries in one relayed notice. It goes to each host of the domain, and ten
// keep it below 1 kB a second and host.
constexpr std::size_t RelayedSummariesMaximum = 10;
// A domain that has not asked again for this time needs nothing.
constexpr Duration WantedLifetime = std::chrono::seconds(2);
// Rank of a service without targets in this domain. Its requests are sent also
// without summaries, those of a busier service are not.
constexpr double LostUtilization = 0.9;
constexpr std::size_t LastNoticesMaximum = 64;
constexpr double DelayWeight = 0.2;
constexpr Duration DelayMaximum = std::chrono::seconds(1);

std::int64_t microseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Time).count();
}

std::int32_t count(double Value) {
  return static_cast<std::int32_t>(std::clamp(Value, 0.0, 1e9));
}

wire::ServiceSummary toWire(const ServiceName &Service,
                            const DomainLoad &Load) {
  wire::ServiceSummary Summary;
  Summary.service_name = Service.Value;
  Summary.targets = count(Load.Targets);
  Summary.known_targets = count(Load.KnownTargets);
  Summary.useful_slots = count(Load.UsefulSlots);
  Summary.busy_slots = count(Load.BusySlots);
  Summary.slowdown_percent = count(Load.Slowdown * 100);
  if (Load.IsPressed)
    Summary.__set_pressed(true);
  return Summary;
}

DomainLoad fromWire(const wire::ServiceSummary &Summary) {
  const auto Count = [](std::int32_t Value) {
    return static_cast<std::uint32_t>(std::max(Value, 0));
  };
  DomainLoad Load;
  Load.Targets = Count(Summary.targets);
  Load.KnownTargets = std::min(Count(Summary.known_targets), Load.Targets);
  Load.UsefulSlots = Count(Summary.useful_slots);
  Load.BusySlots = std::min(Count(Summary.busy_slots), Load.UsefulSlots);
  Load.Slowdown = Count(Summary.slowdown_percent) / 100.0;
  Load.IsPressed = Summary.__isset.pressed && Summary.pressed;
  return Load;
}

} // namespace

DomainExchange::DomainExchange(const GatewayDependencies &Dependencies,
                               DomainRouting &Routing,
                               const MemberTable &Members,
                               const DomainTable &Domains, PeerMesh &Mesh)
    : Dependencies(Dependencies), Routing(Routing), Members(Members),
      Domains(Domains), Mesh(Mesh), NoticeTimer(Dependencies.Context) {}

void DomainExchange::start() {
  asio::co_spawn(
      Dependencies.Context, [Self = shared_from_this()] { return Self->run(); },
      asio::detached);
}

Awaitable<void> DomainExchange::run() {
  while (true) {
    NoticeTimer.expires_after(NoticeInterval);
    const auto [Code] = co_await NoticeTimer.async_wait(UseTuple);
    if (Code)
      co_return;
    sendNotices();
  }
}

void DomainExchange::sendNotices() {
  if (Domains.Domains.empty() ||
      !isDelegate(Members, Dependencies.TimeSource.now()))
    return;
  const auto Own = Routing.ownLoads();
  updateWanted(Own);
  for (const auto &[Domain, Remote] : Domains.Domains)
    sendToDomain(Domain, Remote, Own);
  relay();
}

// The busiest services come first, because the notices are limited.
void DomainExchange::updateWanted(
    const std::map<ServiceName, DomainLoad> &Own) {
  struct Ranked {
    double Utilization;
    ServiceName Service;
  };
  std::vector<Ranked> Ranking;
  for (const auto &[Service, Load] : Own)
    if (needsOtherDomains(Load))
      Ranking.push_back(
          {Load.Targets == 0
               ? LostUtilization
               : static_cast<double>(Load.BusySlots) / Load.UsefulSlots,
           Service});
  std::sort(Ranking.begin(), Ranking.end(),
            [](const Ranked &One, const Ranked &Other) {
              return One.Utilization > Other.Utilization;
            });
  const std::size_t Most = std::max<std::size_t>(
      RelayedSummariesMaximum / Domains.Domains.size(), 1);
  Ranking.resize(std::min(Ranking.size(), Most));
  Wanted.clear();
  for (Ranked &Entry : Ranking)
    Wanted.push_back(std::move(Entry.Service));
}

// A notice without summaries still measures the delay and tells that this
// domain is alive, but only while one of the two domains needs something.
void DomainExchange::sendToDomain(
    const FailureDomain &Domain, const RemoteDomain &Remote,
    const std::map<ServiceName, DomainLoad> &Own) {
  const TimePoint Now = Dependencies.TimeSource.now();
  const RemoteDelegates &Receiver = Remotes[Domain];
  const bool IsAsked =
      !Receiver.Wanted.empty() && Now - Receiver.WantedAt <= WantedLifetime;
  if (!IsAsked && Wanted.empty())
    return;
  wire::DomainNotice Notice;
  Notice.failure_domain = Members.Self.Domain.Value;
  Notice.__set_peer_address(formatEndpoint(Members.Self.PeerAddress));
  Notice.__set_sent_us(microseconds(Now.time_since_epoch()));
  for (const ServiceName &Service : Wanted) {
    Notice.wanted.push_back(Service.Value);
    Notice.__isset.wanted = true;
  }
  wire::DomainSummary Summary;
  Summary.failure_domain = Members.Self.Domain.Value;
  for (const ServiceName &Service : Receiver.Wanted) {
    const auto Load = Own.find(Service);
    if (IsAsked && Load != Own.end())
      Summary.services.push_back(toWire(Service, Load->second));
  }
  if (!Summary.services.empty())
    Notice.summaries.push_back(std::move(Summary));
  for (const Endpoint &Delegate : delegatesOf(Remote)) {
    wire::DomainNotice Addressed = Notice;
    const auto Last = LastNotices.find(formatEndpoint(Delegate));
    if (Last != LastNotices.end()) {
      Addressed.__set_echo_us(Last->second.SentMicroseconds);
      Addressed.__set_echo_held_us(microseconds(Now - Last->second.ReceivedAt));
      LastNotices.erase(Last);
    }
    send(Delegate, Addressed);
  }
}

void DomainExchange::relay() {
  const TimePoint Now = Dependencies.TimeSource.now();
  if (RelayedAt && Now - *RelayedAt < RelaySilentAfter)
    return;
  std::map<FailureDomain, wire::DomainSummary> Summaries;
  for (const ServiceName &Service : Wanted)
    for (const auto &[Domain, Reported] : Routing.reports(Service)) {
      wire::DomainSummary &Summary = Summaries[Domain];
      Summary.failure_domain = Domain.Value;
      Summary.age_ms = std::max(
          Summary.age_ms, count(microseconds(Now - Reported.ObservedAt) / 1e3));
      Summary.__set_delay_us(count(microseconds(Reported.Delay)));
      Summary.services.push_back(toWire(Service, Reported.Load));
    }
  if (Summaries.empty())
    return;
  wire::DomainNotice Notice;
  Notice.failure_domain = Members.Self.Domain.Value;
  for (auto &[Domain, Summary] : Summaries)
    Notice.summaries.push_back(std::move(Summary));
  for (const Peer *Other : alivePeers(Members, Now))
    send(Other->Description.PeerAddress, Notice);
}

void DomainExchange::onNotice(const wire::DomainNotice &Notice) {
  if (Notice.failure_domain == Members.Self.Domain.Value) {
    onRelayed(Notice);
    return;
  }
  const TimePoint Now = Dependencies.TimeSource.now();
  const FailureDomain Domain(Notice.failure_domain);
  if (!Domains.Domains.contains(Domain))
    return;
  RemoteDelegates &Sender = Remotes[Domain];
  // The two delegates may name different services for a moment.
  if (Notice.__isset.wanted) {
    Sender.Wanted.clear();
    for (const std::string &Service : Notice.wanted)
      if (Sender.Wanted.size() < RelayedSummariesMaximum)
        Sender.Wanted.emplace_back(Service);
    Sender.WantedAt = Now;
  }
  measureDelay(Sender, Notice);
  for (const wire::DomainSummary &Summary : Notice.summaries)
    for (const wire::ServiceSummary &Service : Summary.services) {
      const ServiceName Name(Service.service_name);
      if (std::find(Wanted.begin(), Wanted.end(), Name) != Wanted.end())
        Routing.recordReport(
            Name, Domain,
            {fromWire(Service), Now, Sender.Delay.value_or(Duration::zero())});
    }
}

void DomainExchange::onRelayed(const wire::DomainNotice &Notice) {
  const TimePoint Now = Dependencies.TimeSource.now();
  RelayedAt = Now;
  for (const wire::DomainSummary &Summary : Notice.summaries)
    for (const wire::ServiceSummary &Service : Summary.services)
      Routing.recordReport(
          ServiceName(Service.service_name),
          FailureDomain(Summary.failure_domain),
          {fromWire(Service),
           Now - std::chrono::milliseconds(std::max(Summary.age_ms, 0)),
           std::chrono::microseconds(std::max(Summary.delay_us, 0))});
}

void DomainExchange::measureDelay(RemoteDelegates &Sender,
                                  const wire::DomainNotice &Notice) {
  const TimePoint Now = Dependencies.TimeSource.now();
  if (Notice.__isset.sent_us && Notice.__isset.peer_address &&
      LastNotices.size() < LastNoticesMaximum)
    LastNotices[Notice.peer_address] = {Notice.sent_us, Now};
  if (!Notice.__isset.echo_us || !Notice.__isset.echo_held_us)
    return;
  const Duration RoundTrip = Now.time_since_epoch() -
                             std::chrono::microseconds(Notice.echo_us) -
                             std::chrono::microseconds(Notice.echo_held_us);
  if (RoundTrip < Duration::zero() || RoundTrip > 2 * DelayMaximum)
    return;
  const Duration Measured = RoundTrip / 2;
  Sender.Delay =
      Sender.Delay
          ? *Sender.Delay + std::chrono::duration_cast<Duration>(
                                DelayWeight * (Measured - *Sender.Delay))
          : Measured;
}

void DomainExchange::send(const Endpoint &Remote,
                          const wire::DomainNotice &Notice) {
  wire::LoadNotice Carrier;
  Carrier.__set_domains(Notice);
  wire::PeerBody Body;
  Body.__set_load_notice(Carrier);
  if (!Mesh.send(Remote, Body))
    ++Dependencies.ProcessMetrics.counter("domain_notices_dropped_total");
}

} // namespace comfreyrill
