#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// A host, as described by itself or by one of its peers. Unknown addresses are
/// empty.
struct HostDescription {
  HostId Host;
  HostIncarnation Incarnation;
  FailureDomain Domain;
  std::string State;
  ManifestNumber InForce;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string AdminAddress;
};

struct TargetStatus {
  TargetId Id;
  std::string Address;
  FailureDomain Domain;
  std::uint32_t Slots = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t ReportedInFlight = 0;
  bool IsDraining = false;
  /// Time left of a pause that the target asked the host for; 0 without one.
  Duration PauseLeft{};
  bool IsEjected = false;
};

struct ServiceStatus {
  ServiceName Name;
  std::uint32_t Queued = 0;
  std::vector<TargetStatus> Targets;
};

/// Response of a host to GET /v1/status.
struct HostStatus {
  HostDescription Self;
  std::vector<HostDescription> Peers;
  std::vector<ServiceStatus> Services;
};

/// Parses a status. Fails with InvalidInput or TooLarge. Ignores unknown
/// fields, which later versions may add.
Result<HostStatus> parseHostStatus(std::string_view Text);

boost::json::value hostToJson(const HostDescription &Host);
boost::json::value serviceToJson(const ServiceStatus &Service);

} // namespace comfreyrill
