#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <vector>

namespace comfreyrill {

/// Calls of one service that this host holds, waiting or in flight.
struct ServiceUsage {
  ServiceName Service;
  double Weight = 1;
  std::uint32_t Calls = 0;
};

/// Calls of all services that one host holds at a time.
struct HostUsage {
  std::uint32_t CallsMaximum = 1024;
  std::uint32_t Calls = 0;
  std::vector<ServiceUsage> Services;
};

/// Sets the weight of a service, adding it when it is new.
void setServiceWeight(HostUsage &Usage, const ServiceName &Service,
                      double Weight);

/// Takes a place for a call. False when the host is full, or more than half
/// full and the service holds more than its weighted share of the rest.
bool tryAdmitCall(HostUsage &Usage, const ServiceName &Service);

/// Gives the place of a call back.
void releaseCall(HostUsage &Usage, const ServiceName &Service);

} // namespace comfreyrill
