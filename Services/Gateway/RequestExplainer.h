#pragma once

#include "AllotmentExchange.h"
#include "DomainRouting.h"
#include "Explanation.h"
#include "GatewayDependencies.h"

namespace comfreyrill {

/// Explains what this host would do with a request, from its state as it is.
/// The state is read and copied, never changed, and random numbers come from a
/// generator of its own.
class RequestExplainer {
public:
  /// Quotas is null where no allotments are enforced.
  RequestExplainer(const GatewayDependencies &Dependencies,
                   const AllotmentExchange *Quotas, HostId Host,
                   Random Generator);

  Explanation explain(const ExplainedRequest &Request);

private:
  void explainTargets(const ExplainedRequest &Request, Explanation &Result);
  /// Lists the targets of the service with the reasons for which some are no
  /// candidates. Fills in the candidates and what is known of the others.
  void listTargets(const ServiceName &Service, Explanation &Result,
                   SelectionInput &Input);
  void applyDomainChoice(const ExplainedRequest &Request, Explanation &Result,
                         SelectionInput &Input);
  SearchingRequest searchingRequest(const Explanation &Result) const;

  const GatewayDependencies &Dependencies;
  const AllotmentExchange *Quotas;
  HostId Host;
  Random Generator;
};

} // namespace comfreyrill
