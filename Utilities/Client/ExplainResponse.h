#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// A name and its share, from 0 to 1.
struct NamedShare {
  std::string Name;
  double Share = 0;
};

struct ExplainedRoute {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Semantics;
  std::uint32_t Priority = 0;
  Duration LatencyObjective{0};
  Duration Timeout{0};
};

struct ExplainedToken {
  std::string State;
  std::uint32_t Held = 0;
  Duration RefusedFor{0};
  /// Empty while no owner is known.
  std::string Owner;
  bool IsOwnedHere = false;
};

struct ExplainedAccount {
  std::string Name;
  double Rate = 0;
  double Burst = 0;
  std::optional<ExplainedToken> Token;
};

struct ExplainedLoad {
  std::uint32_t InFlight = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Queued = 0;
  double Slowdown = 1;
  Duration Age{0};
};

struct ExplainedTarget {
  std::string Id;
  std::string Domain;
  std::string Use;
  std::string Reason;
  std::string DomainReason;
  std::optional<Duration> For;
  std::optional<ExplainedLoad> Load;
  std::optional<double> LatencyFactor;
};

struct ExplainedRejection {
  std::string Reason;
  std::uint32_t Status = 0;
  std::optional<Duration> RetryAfter;
};

struct ExplainedOutcome {
  std::string Result;
  std::string Reason;
  double Likelihood = 1;
  std::vector<NamedShare> ProbedFirst;
  std::vector<NamedShare> Selected;
  std::optional<Duration> HeldFor;
  /// Of a request that is refused at once, or after it was held.
  std::optional<ExplainedRejection> Rejection;
};

/// A host's response to a request to explain.
struct ExplainResponse {
  std::string Host;
  std::string Domain;
  bool IsDraining = false;
  std::uint64_t ConfigurationVersion = 0;
  std::optional<ExplainedRoute> Route;
  std::vector<NamedShare> Services;
  std::optional<ExplainedAccount> Account;
  std::string Service;
  Duration ExpectedTime{0};
  std::vector<ExplainedTarget> Targets;
  ExplainedOutcome Outcome;
};

/// Parses a response; fields that this version does not know are ignored. Fails
/// with InvalidInput or TooLarge.
Result<ExplainResponse> parseExplainResponse(std::string_view Text);

} // namespace comfreyrill
