#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <vector>

namespace comfreyrill {

/// Admitted calls of one service on this host, waiting or in flight.
struct ServiceUsage {
  ServiceName Service;
  double Weight = 1;
  std::uint32_t Calls = 0;
};

/// Admitted calls of all services on one host.
struct HostUsage {
  std::uint32_t CallsMaximum = 1024;
  std::uint32_t Calls = 0;
  std::vector<ServiceUsage> Services;
};

/// Sets the weight of a service and adds the service if it is new.
void setServiceWeight(HostUsage &Usage, const ServiceName &Service,
                      double Weight);

/// Admits a call of the service. Returns false if the host is at its limit, or
/// if it has reached half of the limit and the service holds at least its
/// weighted share of the limit.
bool tryAdmitCall(HostUsage &Usage, const ServiceName &Service);

/// Ends an admitted call, so that another one can be admitted.
void releaseCall(HostUsage &Usage, const ServiceName &Service);

} // namespace comfreyrill
