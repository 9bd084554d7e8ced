#pragma once

#include <LibCore/Random.h>
#include <LibGateway/Configuration.h>

#include <string_view>

namespace comfreyrill {

/// The route of a request: among those of the host, the one with the longest
/// prefix that begins the path. Null when none matches. The host may carry a
/// port and the path a query; both are ignored.
const Route *findRoute(const Configuration &InForce, std::string_view Host,
                       std::string_view Path);

/// Picks one of the services of a route in proportion to the weights. Null when
/// no weight is positive.
const ServiceName *chooseService(const Route &Chosen, Random &Generator);

/// The description of a service; null when the configuration has none.
const ServiceDescription *findService(const Configuration &InForce,
                                      const ServiceName &Name);

} // namespace comfreyrill
