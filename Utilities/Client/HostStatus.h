#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// One host, as itself or a peer describes it. Addresses are empty when they
/// are not known.
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
  bool IsEjected = false;
};

struct ServiceStatus {
  ServiceName Name;
  std::uint32_t Queued = 0;
  std::vector<TargetStatus> Targets;
};

/// Answer of a host to GET /v1/status.
struct HostStatus {
  HostDescription Self;
  std::vector<HostDescription> Peers;
  std::vector<ServiceStatus> Services;
};

/// Reads a status. Fails with InvalidInput or TooLarge; fields of later
/// versions are ignored.
Result<HostStatus> parseHostStatus(std::string_view Text);

boost::json::value hostToJson(const HostDescription &Host);
boost::json::value serviceToJson(const ServiceStatus &Service);

} // namespace comfreyrill
