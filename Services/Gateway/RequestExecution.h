#pragma once

#include "GatewayDependencies.h"
#include "TargetProbe.h"

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
  RequestExecution(const GatewayDependencies &Dependencies, TargetProbe &Prober,
                   HttpRequest Request);

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
  Awaitable<std::optional<FoundTarget>> findTarget();
  /// Probes targets that have not been found yet.
  Awaitable<std::vector<FoundTarget>>
  probe(const std::vector<FoundTarget> &Found, ProbeDemand Demand);
  /// Targets of the service that this request may go to.
  std::vector<TargetCandidate> usableCandidates();
  /// A target that is known to be free, without a probe.
  Awaitable<std::optional<FoundTarget>> findRememberedTarget();
  std::size_t acquireProbes(ProbeDemand Demand, std::size_t Candidates);
  AdmissionDecision admit(const ProbedCandidate *Best, bool IsFirstLook);
  Awaitable<AttemptReport> attempt(FoundTarget Target);
  HttpResponse answerFor(AttemptReport Last);
  HttpResponse refuse(http::status Status, std::string_view Reason,
                      std::optional<Duration> RetryAfter);
  Duration workTime();
  void logEnd(unsigned Status, std::string_view Reason) const;

  const GatewayDependencies &Dependencies;
  TargetProbe &Prober;
  HttpRequest Request;
  RequestMetadata Metadata;
  TimePoint Received;
  TimePoint Deadline;
  std::shared_ptr<const Configuration> InForce;
  const Route *Chosen = nullptr;
  ServiceName Service;
  std::string HealthPath;
  std::set<TargetId> Tried;
  std::uint32_t Attempts = 0;
  RefusalCause Refusal = RefusalCause::NoTarget;
  bool HasCallerLeft = false;
  std::shared_ptr<HttpConnection> Active;
};

} // namespace comfreyrill
