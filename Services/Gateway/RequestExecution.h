#pragma once

#include "CrashQuarantine.h"
#include "DomainRouting.h"
#include "GatewayDependencies.h"
#include "TargetProber.h"

#include <LibGateway/Admission.h>
#include <LibGateway/Attempt.h>
#include <LibGateway/Authorization.h>
#include <LibGateway/Exchange.h>
#include <LibHttp/HttpServer.h>

#include <optional>
#include <set>
#include <string_view>

namespace comfreyrill {

/// Handles one request of a caller from its arrival to the response.
class RequestExecution : public std::enable_shared_from_this<RequestExecution> {
public:
  RequestExecution(const GatewayDependencies &Dependencies,
                   TargetProber &Prober, CrashQuarantine &Quarantine,
                   HttpRequest Request, std::string CallerAddress);

  Awaitable<HttpResponse> run();

  /// Cancels the attempt in progress and prevents further ones. Called when the
  /// caller has disconnected.
  void cancel();

private:
  struct Rejection {
    http::status Status = http::status::unknown;
    std::string_view Reason;
    std::optional<Duration> RetryAfter;
  };
  /// Result of one attempt.
  struct AttemptReport {
    AttemptOutcome Outcome = AttemptOutcome::Lost;
    /// Present when the target's response arrived completely.
    std::optional<HttpResponse> Answer;
  };

  Awaitable<HttpResponse> execute(const Route &Matched);
  /// Waits while this host is starting, for a limited time.
  Awaitable<void> waitForState();
  /// Checks the caller's key and takes a token from the allotment of its
  /// account. Returns a response if the request must not run.
  Awaitable<std::optional<HttpResponse>> authorizeCaller();
  /// Returns the token of a request that has not run.
  void returnToken();
  /// Checks the request against a configuration that has come into force since
  /// it arrived. Returns false if it must not run any more.
  bool isStillValid();
  /// Returns true if the request may have another attempt. Every attempt but
  /// the first takes from the retry budget.
  bool mayBeginAttempt();
  /// Finds a target for the request. Returns none when the request is to be
  /// refused.
  Awaitable<std::optional<ConnectedTarget>> findTarget();
  SearchingRequest searchingRequest();
  /// Name of the caller's account; empty without one.
  AccountName accountName() const;
  /// Waits until the request may take part in a selection round. Returns false
  /// when it is not to search any more.
  Awaitable<bool> waitForTurn(PlaceInOrder &Place);
  /// Probes candidates that are not in Found, as far as probe tokens allow.
  Awaitable<std::vector<ConnectedTarget>>
  probe(const std::vector<ConnectedTarget> &Found, ProbeDemand Demand);
  /// Connects to one of the candidates of a service without a health path,
  /// unless a target is found already.
  Awaitable<std::vector<ConnectedTarget>>
  connectWithoutProbe(const std::vector<ConnectedTarget> &Found,
                      std::vector<TargetCandidate> Candidates);
  /// Returns the targets of the service that this request has not tried yet.
  std::vector<TargetCandidate> usableCandidates();
  /// Connects to a target that a recent load report shows to be free, without
  /// probing it.
  Awaitable<std::optional<ConnectedTarget>> findTargetFromCachedLoad();
  /// Returns the index of the best target that was found.
  std::optional<std::size_t>
  selectFound(const std::vector<ProbedCandidate> &Probed);
  std::size_t acquireProbes(const ProbeDemand &Demand, std::size_t Candidates);
  /// Waits until a target that is left out for a pause may be used again, or
  /// until another one may be used.
  /// Returns false when the request is to be refused.
  Awaitable<bool> waitForPauseEnd();
  AdmissionDecision admit(const ProbedCandidate *Best, bool IsFirstPass);
  Awaitable<AttemptReport> attempt(ConnectedTarget Target);
  /// Returns true if the host shuts down before an attempt that begins now
  /// would have ended.
  bool isTooLateInDrain(Duration ExpectedTime);
  /// Expected processing time at a target.
  Duration expectedTime(const ProbedCandidate &Target);
  /// Returns true if copies of the request have crashed targets, so that it
  /// must not be sent to another one.
  bool isQuarantined();
  std::uint64_t fingerprint();
  /// Takes the outcome of an attempt as evidence for or against the request.
  Awaitable<void> recordEvidence(AttemptOutcome Outcome, bool IsConnectionLost,
                                 TargetProcess Process, Endpoint Address);
  /// Relays the request, or refuses it when no other host can take it. Returns
  /// nothing when there is no other host.
  Awaitable<std::optional<HttpResponse>> answerWhileCutOff();
  /// Returns true when this host reaches targets too badly to serve the request
  /// itself, and another host may be asked.
  bool mayRelay() const;
  /// Passes the request on to another host. Returns nothing when none has taken
  /// it.
  Awaitable<std::optional<HttpResponse>> relay();
  /// Returns the refusal of a request that no attempt may have run.
  HttpResponse refuseNotRun();
  HttpResponse answerFor(AttemptReport Last);
  HttpResponse refuse(http::status Status, std::string_view Reason,
                      std::optional<Duration> RetryAfter);
  Duration workTime();
  void logRequestEnd(unsigned Status, std::string_view Reason) const;

  const GatewayDependencies &Dependencies;
  TargetProber &Prober;
  CrashQuarantine &Quarantine;
  HttpRequest Request;
  std::string CallerAddress;
  RequestMetadata Metadata;
  /// Of the request's id, which all its attempts carry.
  RequestDigest IdDigest;
  /// Calculated when it is needed for the first time.
  std::optional<std::uint64_t> Fingerprint;
  TimePoint ReceivedAt;
  TimePoint Deadline;
  std::shared_ptr<const Configuration> CurrentConfiguration;
  const Route *SelectedRoute = nullptr;
  /// The account of the caller, owned by the configuration.
  const ClientAccount *Account = nullptr;
  bool HoldsToken = false;
  /// Later configuration by which the request is still valid.
  std::shared_ptr<const Configuration> RecheckedConfiguration;
  /// Set when a later configuration has made the request invalid.
  std::optional<Rejection> Invalidity;
  ServiceName Service;
  /// Which failure domains the request may use.
  RequestChoice DomainChoice;
  std::string HealthPath;
  std::set<TargetId> TriedTargets;
  std::uint32_t AttemptCount = 0;
  RefusalCause Refusal = RefusalCause::NoTarget;
  bool HasCallerLeft = false;
  /// The target of the last selection could not be used any more.
  bool IsSelectionRepeated = false;
  /// The last selection had targets to choose from.
  bool HasCandidates = false;
  /// Set when all targets that the request could use are paused: the earliest
  /// end of the pauses.
  std::optional<TimePoint> PauseEndsAt;
  bool HasWaitedForPause = false;
  /// Set when the request was found to be in quarantine.
  std::optional<Duration> QuarantineLeft;
  Timer SelectionTimer;
  std::shared_ptr<HttpConnection> ActiveConnection;
  /// Memory of the last answer, which is kept while another attempt runs.
  MessageShare HeldAnswer;
};

} // namespace comfreyrill
