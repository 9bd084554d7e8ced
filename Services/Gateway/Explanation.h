#pragma once

#include <LibAccount/TokenPreview.h>
#include <LibGateway/ArrivalExplanation.h>
#include <LibGateway/SelectionExplanation.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace comfreyrill {

/// One target of the service of an explained request.
struct TargetExplanation {
  TargetId Id;
  FailureDomain Domain;
  TargetExclusion Exclusion = TargetExclusion::None;
  /// Time until the exclusion ends, if it is known.
  std::optional<Duration> ExcludedFor;
  /// For OtherDomain: why the request may not use the domain.
  std::string_view DomainReason;
  /// Used only when no other target is left.
  bool IsSuspect = false;
  bool IsEjected = false;
  /// Left out of requests that must run at most once, as IsSuspect.
  bool IsOnProbation = false;
  std::optional<LoadReport> Load;
  Duration LoadAge{0};
  /// Expected latency by the last load report as a multiple of the typical one.
  std::optional<double> LatencyFactor;
};

/// What one host would do with a request now.
struct Explanation {
  HostId Host;
  FailureDomain HostDomain;
  bool IsDraining = false;
  /// Keeps what Arrival points to; null without a configuration.
  std::shared_ptr<const Configuration> Active;
  ArrivalExplanation Arrival;
  /// Shares of the services of the route, in its order.
  std::vector<double> Shares;
  /// The service that is explained, the one with the largest share.
  std::optional<ServiceName> Service;
  /// Present when the account has a limit that this host enforces.
  std::optional<TokenPreview> Token;
  /// Expected processing time at an idle target.
  Duration ExpectedTime{0};
  std::vector<TargetExplanation> Targets;
  /// Present when the selection of a target is reached.
  std::optional<SelectionExplanation> Selection;
  /// Present when the host refuses before that.
  std::optional<ExplainedRefusal> Refusal;
};

} // namespace comfreyrill
