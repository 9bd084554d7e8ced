#pragma once

#include "GatewayDependencies.h"
#include "TargetProber.h"

#include <LibGateway/Admission.h>
#include <LibGateway/Attempt.h>
#include <LibGateway/Exchange.h>
#include <LibHttp/HttpServer.h>

#include <optional>
#include <set>
#include <string_view>

namespace comfreyrill {

/// Handles one request of a caller from its arrival to its answer.
class RequestExecution : public std::enable_shared_from_this<RequestExecution> {
public:
  RequestExecution(const GatewayDependencies &Dependencies,
                   TargetProber &Prober, HttpRequest Request);

  Awaitable<HttpResponse> run();

  /// The caller has left: ends the attempt in progress and starts no other.
  void cancel();

private:
  /// What an attempt left behind.
  struct AttemptReport {
    AttemptOutcome Outcome = AttemptOutcome::Lost;
    /// Present when the target's answer arrived in full.
    std::optional<HttpResponse> Answer;
  };

  Awaitable<HttpResponse> execute(const Route &Matched);
  /// Takes every attempt but the first from the retry budget.
  bool mayBeginAttempt();
  /// A target to send the request to; none when it is to be refused.
  Awaitable<std::optional<ConnectedTarget>> findTarget();
  /// Probes targets that have not been found yet.
  Awaitable<std::vector<ConnectedTarget>>
  probe(const std::vector<ConnectedTarget> &Found, ProbeDemand Demand);
  /// Targets of the service that this request may go to.
  std::vector<TargetCandidate> usableCandidates();
  /// A target that is known to be free, without a probe.
  Awaitable<std::optional<ConnectedTarget>> findTargetFromCachedLoad();
  std::size_t acquireProbes(ProbeDemand Demand, std::size_t Candidates);
  AdmissionDecision admit(const ProbedCandidate *Best, bool IsFirstPass);
  Awaitable<AttemptReport> attempt(ConnectedTarget Target);
  HttpResponse answerFor(AttemptReport Last);
  HttpResponse refuse(http::status Status, std::string_view Reason,
                      std::optional<Duration> RetryAfter);
  Duration workTime();
  void logRequestEnd(unsigned Status, std::string_view Reason) const;

  const GatewayDependencies &Dependencies;
  TargetProber &Prober;
  HttpRequest Request;
  RequestMetadata Metadata;
  TimePoint ReceivedAt;
  TimePoint Deadline;
  std::shared_ptr<const Configuration> CurrentConfiguration;
  const Route *SelectedRoute = nullptr;
  ServiceName Service;
  std::string HealthPath;
  std::set<TargetId> TriedTargets;
  std::uint32_t AttemptCount = 0;
  RefusalCause Refusal = RefusalCause::NoTarget;
  bool HasCallerLeft = false;
  std::shared_ptr<HttpConnection> ActiveConnection;
};

} // namespace comfreyrill
