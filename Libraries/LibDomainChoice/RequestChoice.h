#pragma once

#include <LibCore/Random.h>
#include <LibDomainChoice/DomainChoice.h>
#include <LibGateway/TargetSelection.h>

#include <array>
#include <optional>

namespace comfreyrill {

/// What the choice for one request depends on.
struct LeavingRequest {
  /// Bytes of the request and the expected bytes of its response.
  double Bytes = 0;
  /// Time since the request was read.
  Duration Waited{0};
  Duration LatencyObjective{0};
  /// Time that an idle target of usual speed needs for the request.
  Duration WorkTime{0};
};

/// Costs of the last requests of a service if they left, the latest ones last.
struct RecentCosts {
  std::array<double, 64> Costs{};
  std::size_t Count = 0;
};

/// The failure domain that one request may use beside the own one.
struct RequestChoice {
  /// Absent when the request stays.
  std::optional<FailureDomain> Destination;
  /// How much better a target there must be than one of the own domain.
  RemoteFactors Factors;
  /// The further probes for a request that stays may go to other domains.
  bool MayUseNeighbors = false;
  /// Local targets that the request may use, counted with its candidates.
  std::size_t UsableLocalTargets = 0;
};

/// Decides whether a request may leave. Of the recent requests, those leave
/// whose cost is within the lowest of the leaving share: requests that would
/// miss their latency objective in the own domain, then those with few bytes.
/// BytePrice is the price of a byte between failure domains as a part of the
/// value of an answered request. A request whose bytes cost more than its value
/// leaves only when the own domain has no usable targets.
RequestChoice chooseForRequest(const DomainChoiceState &State,
                               RecentCosts &Recent,
                               const LeavingRequest &Request, double BytePrice,
                               Random &Generator);

} // namespace comfreyrill
