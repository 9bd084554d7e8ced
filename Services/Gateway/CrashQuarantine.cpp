#include "CrashQuarantine.h"

#include <LibCore/Hash.h>

namespace comfreyrill {

namespace {

// The operating system of a target answers for a process that has ended, so the
// answer comes within a round trip. Requests that may be sent again wait for
// it.
constexpr Duration CheckTimeout = std::chrono::milliseconds(100);
// What does not fit reaches the other hosts with a later summary.
constexpr std::size_t UnsentReportsMaximum = 1024;
constexpr std::size_t SummaryReportsMaximum = 256;

TargetLifetime lifetimeOf(const TargetProcess &Process) {
  return stableHash(
      {Process.Id.Value, std::to_string(Process.StartedAtMilliseconds)});
}

} // namespace

struct CrashQuarantine::EndCheck {
  explicit EndCheck(const Executor &Context) : Completion(Context) {
    Completion.expires_at(TimePoint::max());
  }

  /// Cancelled at the end of the check.
  Timer Completion;
  bool HasEnded = false;
};

CrashQuarantine::CrashQuarantine(const GatewayDependencies &Dependencies)
    : Dependencies(Dependencies) {
  std::uniform_real_distribution<double> UnitInterval(0, 1);
  History.QuarantineSpread = UnitInterval(Dependencies.Generator);
}

std::optional<Duration>
CrashQuarantine::quarantineLeft(std::uint64_t Fingerprint) const {
  return comfreyrill::quarantineLeft(History, Fingerprint,
                                     Dependencies.TimeSource.now());
}

void CrashQuarantine::beginAttempt(std::uint64_t Fingerprint) {
  beginTrial(History, Fingerprint, Dependencies.TimeSource.now());
}

void CrashQuarantine::onAnswer(std::uint64_t Fingerprint) {
  const AnswerReport Report{Fingerprint, Dependencies.TimeSource.now()};
  if (recordAnswer(History, Fingerprint, Report.AnsweredAt))
    passOn(&CrashReports::Answers, Report, ReportSource::ThisHost);
}

Awaitable<void> CrashQuarantine::onConnectionLoss(std::uint64_t Fingerprint,
                                                  TargetProcess Process,
                                                  Endpoint Address) {
  const auto Self = shared_from_this();
  const CrashReport Report{
      Fingerprint, {lifetimeOf(Process), Dependencies.TimeSource.now()}};
  const bool HasEnded = co_await hasEnded(Process, std::move(Address));
  if (HasEnded && recordCrash(Report, Process.Id.Value))
    passOn(&CrashReports::Crashes, Report, ReportSource::ThisHost);
}

// A lost connection alone is weak evidence: targets also reset connections when
// they are full or have forgotten them, and links fail.
Awaitable<bool> CrashQuarantine::hasEnded(TargetProcess Process,
                                          Endpoint Address) {
  std::shared_ptr<EndCheck> &Known = Checks[Process];
  if (!Known) {
    Known = std::make_shared<EndCheck>(Dependencies.Context);
    asio::co_spawn(Dependencies.Context,
                   runCheck(Known, Process, std::move(Address)),
                   asio::detached);
  }
  const std::shared_ptr<EndCheck> Check = Known;
  co_await Check->Completion.async_wait(UseTuple);
  co_return Check->HasEnded;
}

Awaitable<void> CrashQuarantine::runCheck(std::shared_ptr<EndCheck> Check,
                                          TargetProcess Process,
                                          Endpoint Address) {
  const auto Self = shared_from_this();
  const auto Socket = std::make_shared<TcpSocket>(Dependencies.Context);
  Timer Deadline(Dependencies.Context);
  Deadline.expires_after(CheckTimeout);
  Deadline.async_wait([Socket](const boost::system::error_code &Code) {
    if (!Code)
      Socket->close();
  });
  boost::system::error_code AddressError;
  const auto Remote = asio::ip::make_address(Address.Address, AddressError);
  if (!AddressError) {
    const auto [Code] = co_await Socket->async_connect(
        asio::ip::tcp::endpoint(Remote, Address.Port), UseTuple);
    Check->HasEnded = Code == asio::error::connection_refused;
  }
  Checks.erase(Process);
  Check->Completion.cancel();
  ++Dependencies.ProcessMetrics.counter(
      Check->HasEnded ? "target_end_checks_total{result=\"ended\"}"
                      : "target_end_checks_total{result=\"alive\"}");
}

void CrashQuarantine::apply(const CrashReports &Received, ReportSource Source) {
  for (const AnswerReport &Report : Received.Answers)
    if (recordAnswer(History, Report.Fingerprint, Report.AnsweredAt))
      passOn(&CrashReports::Answers, Report, Source);
  for (const CrashReport &Report : Received.Crashes)
    if (recordCrash(Report, "host"))
      passOn(&CrashReports::Crashes, Report, Source);
}

// Other hosts of the sender's domain have had the report from the sender.
template <typename Report>
void CrashQuarantine::passOn(std::vector<Report> CrashReports::*Kind,
                             const Report &News, ReportSource Source) {
  const auto Add = [&](std::vector<Report> &Unsent) {
    if (Unsent.size() < UnsentReportsMaximum)
      Unsent.push_back(News);
  };
  if (Source != ReportSource::OwnDomain)
    Add(ForDomain.*Kind);
  if (Source != ReportSource::OtherDomain)
    Add(ForOtherDomains.*Kind);
  if (OnNews)
    OnNews();
}

CrashReports CrashQuarantine::summary() const {
  return summarize(History, SummaryReportsMaximum,
                   Dependencies.TimeSource.now());
}

void CrashQuarantine::expire() {
  forgetOldEvidence(History, Dependencies.TimeSource.now());
}

bool CrashQuarantine::recordCrash(const CrashReport &Report,
                                  std::string_view Source) {
  const bool WasQuarantined = quarantineLeft(Report.Fingerprint).has_value();
  if (!comfreyrill::recordCrash(History, Report.Fingerprint, Report.Crash,
                                Dependencies.TimeSource.now()))
    return false;
  const auto Left = quarantineLeft(Report.Fingerprint);
  const bool IsNewlyQuarantined = Left && !WasQuarantined;
  ++Dependencies.ProcessMetrics.counter("crash_evidence_total");
  if (IsNewlyQuarantined)
    ++Dependencies.ProcessMetrics.counter("requests_quarantined_total");
  LogLine Line(IsNewlyQuarantined ? "request_quarantined" : "crash_evidence");
  Line.field("fingerprint", hexadecimal(Report.Fingerprint))
      .field("lifetime", hexadecimal(Report.Crash.Lifetime))
      .field("source", Source);
  if (Left)
    Line.field(
        "seconds",
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::seconds>(*Left).count()));
  Dependencies.Events.write(
      LogLevel::Warning,
      IsNewlyQuarantined ? "request_quarantined" : "crash_evidence", Line);
  return true;
}

} // namespace comfreyrill
