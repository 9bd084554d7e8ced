#include <LibRouting/FairShare.h>

#include <algorithm>

namespace comfreyrill {

namespace {

ServiceUsage *findUsage(HostUsage &Usage, const ServiceName &Service) {
  auto Found = std::find_if(Usage.Services.begin(), Usage.Services.end(),
                            [&](const ServiceUsage &Candidate) {
                              return Candidate.Service == Service;
                            });
  return Found == Usage.Services.end() ? nullptr : &*Found;
}

} // namespace

void setServiceWeight(HostUsage &Usage, const ServiceName &Service,
                      double Weight) {
  if (ServiceUsage *Known = findUsage(Usage, Service))
    Known->Weight = Weight;
  else
    Usage.Services.push_back({Service, Weight, 0});
}

// Shares are computed over the services that have calls at the moment, so that
// the share of an idle service is available to the others. The first half of
// the limit is first come, first served, because every service can still get
// calls admitted below it.
bool tryAdmitCall(HostUsage &Usage, const ServiceName &Service) {
  ServiceUsage *Own = findUsage(Usage, Service);
  if (!Own || Usage.Calls >= Usage.CallsMaximum)
    return false;
  if (Usage.Calls >= Usage.CallsMaximum / 2) {
    double Weights = 0;
    for (const ServiceUsage &Other : Usage.Services)
      if (Other.Calls > 0 || &Other == Own)
        Weights += Other.Weight;
    const double Share = Usage.CallsMaximum * Own->Weight / Weights;
    if (Own->Calls >= Share)
      return false;
  }
  ++Own->Calls;
  ++Usage.Calls;
  return true;
}

void releaseCall(HostUsage &Usage, const ServiceName &Service) {
  ServiceUsage *Own = findUsage(Usage, Service);
  if (!Own || Own->Calls == 0)
    return;
  --Own->Calls;
  --Usage.Calls;
}

} // namespace comfreyrill
