#pragma once

#include "GatewayDependencies.h"

#include <LibQuarantine/CrashHistory.h>

#include <functional>
#include <map>
#include <memory>

namespace comfreyrill {

/// Where a crash report comes from.
enum class ReportSource { ThisHost, OwnDomain, OtherDomain };

/// Prevents requests that crash targets from reaching more of them. Collects
/// the evidence of this host and of the others.
class CrashQuarantine : public std::enable_shared_from_this<CrashQuarantine> {
public:
  explicit CrashQuarantine(const GatewayDependencies &Dependencies);

  /// Returns false if no request can be in quarantine.
  bool hasEvidence() const { return !History.Requests.empty(); }
  /// Returns how much longer the request must not be sent to a target.
  std::optional<Duration> quarantineLeft(std::uint64_t Fingerprint) const;
  /// Called before each attempt.
  void beginAttempt(std::uint64_t Fingerprint);
  /// Called when a target has answered the request completely.
  void onAnswer(std::uint64_t Fingerprint);
  /// Called when the connection was lost after the request was written. Counts
  /// as a crash if the target process has ended; completes when that is known.
  Awaitable<void> onConnectionLoss(std::uint64_t Fingerprint,
                                   TargetProcess Process, Endpoint Address);

  /// Called when there are reports to take.
  using NewsHandler = std::function<void()>;
  void onNews(NewsHandler Handler) { OnNews = std::move(Handler); }
  /// Applies the reports of another host.
  void apply(const CrashReports &Received, ReportSource Source);
  /// Returns the reports that the hosts of this failure domain have not had.
  CrashReports takeReportsForDomain() { return std::exchange(ForDomain, {}); }
  /// Returns the reports that the other failure domains have not had from this
  /// one.
  CrashReports takeReportsForOtherDomains() {
    return std::exchange(ForOtherDomains, {});
  }
  /// Returns what a host that has missed earlier reports needs to know.
  CrashReports summary() const;

  /// Forgets old evidence. Called several times a second.
  void expire();

private:
  struct EndCheck;

  /// Returns whether the process has ended. All requests that lose their
  /// connections to it at the same time share one check.
  Awaitable<bool> hasEnded(TargetProcess Process, Endpoint Address);
  Awaitable<void> runCheck(std::shared_ptr<EndCheck> Check,
                           TargetProcess Process, Endpoint Address);
  bool recordCrash(const CrashReport &Report, std::string_view Source);
  /// Hands a report to the other hosts that have not had it from its source.
  template <typename Report>
  void passOn(std::vector<Report> CrashReports::*Kind, const Report &News,
              ReportSource Source);

  const GatewayDependencies &Dependencies;
  CrashHistory History;
  CrashReports ForDomain;
  CrashReports ForOtherDomains;
  std::map<TargetProcess, std::shared_ptr<EndCheck>> Checks;
  NewsHandler OnNews;
};

} // namespace comfreyrill
