#pragma once

#include <LibGateway/Authorization.h>
#include <LibGateway/Configuration.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// A request whose decisions are to be explained. It is not sent.
struct ExplainedRequest {
  std::string Method;
  std::string Host;
  std::string Path;
  std::size_t BodyBytes = 0;
  /// Name of the account; takes the place of a key.
  std::optional<AccountName> Account;
  /// Key of a client account; must not be logged or returned.
  std::string Key;
};

/// A response that the host itself would send.
struct ExplainedRefusal {
  unsigned Status = 0;
  /// As in the log and the metrics; "unknown_account" for an account that is
  /// named and not configured.
  std::string_view Reason;
  std::optional<Duration> RetryAfter;
};

/// The decisions that need nothing but the configuration. The pointers refer to
/// the configuration.
struct ArrivalExplanation {
  const Route *Matched = nullptr;
  const ClientAccount *Account = nullptr;
  /// Set when the request would be refused for one of these decisions.
  std::optional<ExplainedRefusal> Refusal;
};

/// Explains the match of the route and the check of the account. Active is null
/// on a host without a configuration.
ArrivalExplanation explainArrival(const Configuration *Active,
                                  const ExplainedRequest &Request);

/// Returns the position of the service of a route that gets the largest share
/// of its requests, or nothing when no weight is positive.
std::optional<std::size_t> mainService(const Route &Matched);

} // namespace comfreyrill
