#include "CrashExchange.h"

#include <algorithm>

namespace comfreyrill {

namespace {

// One crash is news of several requests. It must spread faster than the callers
// of these come back.
constexpr Duration BatchTime = std::chrono::milliseconds(25);
constexpr Duration SummaryInterval = std::chrono::milliseconds(500);
// An older report says nothing that matters any more.
constexpr std::int32_t AgeMaximumMs = 24 * 3600 * 1000;

std::int32_t ageMs(TimePoint Time, TimePoint Now) {
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Time).count(),
      0, AgeMaximumMs));
}

TimePoint timeOf(std::int32_t AgeMs, TimePoint Now) {
  return Now - std::chrono::milliseconds(std::clamp(AgeMs, 0, AgeMaximumMs));
}

wire::CrashNotice toWire(const CrashReports &Reports,
                         const FailureDomain &Domain, TimePoint Now) {
  wire::CrashNotice Notice;
  Notice.failure_domain = Domain.Value;
  for (const CrashReport &Report : Reports.Crashes) {
    wire::RequestCrash Crash;
    Crash.fingerprint = static_cast<std::int64_t>(Report.Fingerprint);
    Crash.lifetime = static_cast<std::int64_t>(Report.Crash.Lifetime);
    Crash.age_ms = ageMs(Report.Crash.Time, Now);
    Notice.crashes.push_back(Crash);
  }
  for (const AnswerReport &Report : Reports.Answers) {
    wire::RequestAnswer Answer;
    Answer.fingerprint = static_cast<std::int64_t>(Report.Fingerprint);
    Answer.age_ms = ageMs(Report.AnsweredAt, Now);
    Notice.answers.push_back(Answer);
    Notice.__isset.answers = true;
  }
  return Notice;
}

CrashReports fromWire(const wire::CrashNotice &Notice, TimePoint Now) {
  CrashReports Reports;
  for (const wire::RequestCrash &Crash : Notice.crashes)
    Reports.Crashes.push_back({static_cast<std::uint64_t>(Crash.fingerprint),
                               {static_cast<std::uint64_t>(Crash.lifetime),
                                timeOf(Crash.age_ms, Now)}});
  for (const wire::RequestAnswer &Answer : Notice.answers)
    Reports.Answers.push_back({static_cast<std::uint64_t>(Answer.fingerprint),
                               timeOf(Answer.age_ms, Now)});
  return Reports;
}

bool isEmpty(const CrashReports &Reports) {
  return Reports.Crashes.empty() && Reports.Answers.empty();
}

} // namespace

CrashExchange::CrashExchange(const GatewayDependencies &Dependencies,
                             CrashQuarantine &Quarantine,
                             const MemberTable &Members,
                             const DomainTable &Domains, PeerMesh &Mesh)
    : Dependencies(Dependencies), Quarantine(Quarantine), Members(Members),
      Domains(Domains), Mesh(Mesh), SendTimer(Dependencies.Context) {}

void CrashExchange::start() {
  Quarantine.onNews([this] { onNews(); });
  asio::co_spawn(
      Dependencies.Context, [Self = shared_from_this()] { return Self->run(); },
      asio::detached);
}

void CrashExchange::onNews() {
  HasNews = true;
  if (!IsCollecting)
    SendTimer.cancel();
}

// Sleeps while there is no evidence, because each wake-up costs processor time.
Awaitable<void> CrashExchange::run() {
  while (true) {
    SendTimer.expires_at(Quarantine.hasEvidence() ? NextSummary
                                                  : TimePoint::max());
    if (!HasNews)
      co_await SendTimer.async_wait(UseTuple);
    if (HasNews) {
      IsCollecting = true;
      SendTimer.expires_after(BatchTime);
      co_await SendTimer.async_wait(UseTuple);
      IsCollecting = false;
      HasNews = false;
      sendNews();
    }
    const TimePoint Now = Dependencies.TimeSource.now();
    if (Now >= NextSummary) {
      NextSummary = Now + SummaryInterval;
      Quarantine.expire();
      sendSummary();
    }
  }
}

void CrashExchange::sendNews() {
  const TimePoint Now = Dependencies.TimeSource.now();
  const CrashReports ForDomain = Quarantine.takeReportsForDomain();
  if (!isEmpty(ForDomain))
    for (const Peer *Other : alivePeers(Members, Now))
      send(Other->Description.PeerAddress, ForDomain);
  const CrashReports ForOtherDomains = Quarantine.takeReportsForOtherDomains();
  if (!isEmpty(ForOtherDomains) && isDelegate(Members, Now))
    for (const Endpoint &Remote : remoteDelegates(Domains))
      send(Remote, ForOtherDomains);
}

// One host of the own domain and one of another, so that a part of the fleet
// that was cut off catches up through any of its hosts.
void CrashExchange::sendSummary() {
  const CrashReports Summary = Quarantine.summary();
  if (isEmpty(Summary))
    return;
  const TimePoint Now = Dependencies.TimeSource.now();
  const auto RandomIndex = [&](std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(
        Dependencies.Generator);
  };
  const auto Own = alivePeers(Members, Now);
  if (!Own.empty())
    send(Own[RandomIndex(Own.size())]->Description.PeerAddress, Summary);
  const auto Others = remoteHosts(Domains, Now);
  if (!Others.empty())
    send(Others[RandomIndex(Others.size())].PeerAddress, Summary);
}

void CrashExchange::send(const Endpoint &Remote, const CrashReports &Reports) {
  wire::LoadNotice Notice;
  Notice.__set_crashes(
      toWire(Reports, Members.Self.Domain, Dependencies.TimeSource.now()));
  wire::PeerBody Body;
  Body.__set_load_notice(Notice);
  if (!Mesh.send(Remote, Body))
    ++Dependencies.ProcessMetrics.counter("crash_notices_dropped_total");
}

void CrashExchange::onNotice(const wire::CrashNotice &Notice) {
  Quarantine.apply(fromWire(Notice, Dependencies.TimeSource.now()),
                   Notice.failure_domain == Members.Self.Domain.Value
                       ? ReportSource::OwnDomain
                       : ReportSource::OtherDomain);
}

} // namespace comfreyrill
