#pragma once

#include <LibGateway/Configuration.h>

#include <string_view>

namespace comfreyrill {

enum class AuthorizationVerdict { Allowed, MissingKey, UnknownKey };

/// Result of checking the key of a request.
struct Authorization {
  AuthorizationVerdict Verdict = AuthorizationVerdict::Allowed;
  /// The account that holds the key; null on public routes without a known key
  /// and in configurations without accounts.
  const ClientAccount *Account = nullptr;
};

/// Checks the key of a request against the accounts of a configuration. All
/// requests are allowed when the configuration has no accounts, or when the
/// route is public.
Authorization authorize(const Configuration &Active, const Route &Selected,
                        std::string_view Key);

/// Returns the priority of a request, where that of its account goes before
/// that of its route.
std::uint32_t effectivePriority(const Route &Selected,
                                const ClientAccount *Account);

} // namespace comfreyrill
