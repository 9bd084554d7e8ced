#pragma once

#include "GatewayDependencies.h"

#include <LibDomainChoice/NeighborChoice.h>
#include <LibDomainChoice/RequestChoice.h>
#include <LibMembership/DomainTable.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace comfreyrill {

/// Load of one service in another failure domain as its delegates report it.
struct ReportedDomainLoad {
  DomainLoad Load;
  TimePoint ObservedAt;
  Duration Delay{0};
};

/// Decides for each service which share of this host's requests leaves the
/// failure domain, and for each request whether it is one of them.
class DomainRouting : public std::enable_shared_from_this<DomainRouting> {
public:
  DomainRouting(const GatewayDependencies &Dependencies,
                const DomainTable &Domains, double BytePrice);

  void start();

  /// Updates the decisions for all services with requests on this host.
  void update();

  /// Counts a request that has been received and decides whether it may leave.
  RequestChoice choose(const ServiceName &Service, const Route &Matched,
                       std::size_t RequestBytes, Duration Waited);
  /// Returns what choose() would decide, without counting a request and with
  /// random numbers of another generator. A service without requests so far
  /// counts as one whose requests stay.
  RequestChoice preview(const ServiceName &Service, const Route &Matched,
                        std::size_t RequestBytes, Random &Other) const;
  /// Removes the candidates that the request may not use, and counts the usable
  /// local ones.
  void restrict(const ServiceName &Service, RequestChoice &Choice,
                std::vector<TargetCandidate> &Candidates) const;
  /// Returns the decision in force, or null for a service without requests so
  /// far.
  const DomainChoiceState *state(const ServiceName &Service) const;
  /// Returns the index of the target to use, and decides whether the further
  /// probes of a request that stays may go to other domains. Request has the
  /// bytes of the request only.
  std::optional<std::size_t> select(const ServiceName &Service,
                                    const Route &Matched,
                                    LeavingRequest Request,
                                    const std::vector<ProbedCandidate> &Probed,
                                    RequestChoice &Choice);
  /// Counts requests that wait for a slot.
  void beginWait(const ServiceName &Service);
  void endWait(const ServiceName &Service);
  /// Counts a request that was rejected for lack of a slot.
  void recordRefusal(const ServiceName &Service, const RequestChoice &Choice);
  /// Counts an attempt and returns why it goes to another domain, or "" if it
  /// does not.
  std::string_view recordAttempt(const ServiceName &Service,
                                 const TargetCandidate &Target,
                                 const RequestChoice &Choice,
                                 std::size_t RequestBytes);
  void recordAnswer(const ServiceName &Service, const Route &Matched,
                    std::size_t ResponseBytes);

  /// Returns the load of each service in the own failure domain.
  std::map<ServiceName, DomainLoad> ownLoads();
  /// Records a report unless a newer one is known.
  void recordReport(const ServiceName &Service, const FailureDomain &Domain,
                    const ReportedDomainLoad &Reported);
  /// Returns the reports of the last second on one service.
  std::map<FailureDomain, ReportedDomainLoad>
  reports(const ServiceName &Service) const;

private:
  struct ServiceRouting {
    DomainChoiceState State;
    RecentCosts Recent;
    std::map<FailureDomain, ReportedDomainLoad> Reports;
    /// Domains that single requests may not use: their own requests find no
    /// slots, or they have not been heard from.
    std::set<FailureDomain> ClosedDomains;
    /// Largest one-way delay to the other domains, as far as it is known.
    Duration NeighborDelay{0};
    std::map<std::string, double> ResponseBytesByRoute;
    double Received = 0;
    double Refused = 0;
    double Waiting = 0;
  };

  Awaitable<void> run();
  void updateService(const ServiceName &Service, ServiceRouting &Entry);
  /// Sums up the loads that this host knows by itself.
  std::map<FailureDomain, DomainLoad> knownLoads(const ServiceName &Service,
                                                 double *InFlight);
  /// Mean bytes of the responses of a route, 0 before the first one.
  static double responseBytes(const ServiceRouting &Entry,
                              const Route &Matched);
  static LeavingRequest leavingRequest(const ServiceRouting &Entry,
                                       const Route &Matched,
                                       std::size_t RequestBytes,
                                       Duration Waited);
  void logChange(const ServiceName &Service, const DomainChoiceState &State,
                 bool WasSending);
  /// Counter of the requests that have left the failure domain for a reason.
  std::uint64_t &leftCounter(const ServiceName &Service,
                             std::string_view Reason);

  const GatewayDependencies &Dependencies;
  const DomainTable &Domains;
  double BytePrice;
  Timer UpdateTimer;
  std::map<ServiceName, ServiceRouting> Services;
};

} // namespace comfreyrill
