#pragma once

#include <LibCore/Random.h>
#include <LibGateway/Configuration.h>

#include <string_view>

namespace comfreyrill {

/// Finds the route of a request: among the routes of the host, the one with the
/// longest matching path prefix. Returns null when no route matches. A port in
/// the host and a query in the path are ignored.
const Route *findRoute(const Configuration &Active, std::string_view Host,
                       std::string_view Path);

/// Returns the shares of the services of a route, in the order of its services.
/// All are 0 when no weight is positive.
std::vector<double> serviceShares(const Route &Selected);

/// Selects one of the services of a route at random, in proportion to their
/// weights. Returns null when no weight is positive.
const ServiceName *chooseService(const Route &Selected, Random &Generator);

/// Returns the description of a service, or null when the configuration has
/// none.
const ServiceDescription *findService(const Configuration &Active,
                                      const ServiceName &Name);

/// Returns the account of this name, or null.
const ClientAccount *findAccountByName(const Configuration &Active,
                                       const AccountName &Name);

} // namespace comfreyrill
