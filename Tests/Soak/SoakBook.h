#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace comfreyrill::soak {

/// One request as its caller saw it.
struct CallRecord {
  std::string Request;
  std::size_t Host = 0;
  /// Counts the processes of that host.
  std::uint32_t Lifetime = 0;
  bool IsAtMostOnce = false;
  /// Version of the configuration that added its route.
  std::uint64_t RouteVersion = 1;
  TimePoint SentAt;
  TimePoint EndedAt;
  /// None when the connection ended or the caller gave up.
  std::optional<unsigned> Status;
  /// The whole request was written and the connection ended.
  bool IsCut = false;
  /// The body is the one that a target made for this request.
  bool HasOwnBody = false;
};

/// One request as it reached a target.
struct ArrivalRecord {
  std::string Request;
  std::string Target;
  std::size_t Host = 0;
  TimePoint At;
  bool HasRun = false;
};

/// A time in which a host, or its links, were disturbed. Rules with a time
/// bound do not hold then, nor for some seconds after.
struct Disturbance {
  /// None for all hosts.
  std::optional<std::size_t> Host;
  TimePoint From;
  TimePoint Until;
};

/// When the store has acknowledged a change.
struct Acknowledged {
  TimePoint At;
  std::string Target;
  std::uint64_t Version = 0;
};

/// The time that the users' pages give, and what happened in one run.
struct SoakBook {
  Duration StabilityWindow = std::chrono::seconds(3);
  Duration DrainTime = std::chrono::seconds(2);
  Duration ConfigurationTime = std::chrono::seconds(2);
  Duration RollbackSlack = std::chrono::milliseconds(250);

  std::vector<CallRecord> Calls;
  std::vector<ArrivalRecord> Arrivals;
  std::vector<Disturbance> Disturbances;
  std::vector<Acknowledged> DrainedTargets;
  std::vector<Acknowledged> Configurations;
};

/// True when nothing has disturbed the host in the stability window before the
/// time span and during it.
bool isInTouch(const SoakBook &Book, std::size_t Host, TimePoint From,
               TimePoint Until);

/// One line for each broken promise.
std::vector<std::string> findViolations(const SoakBook &Book);

/// Share of the calls sent in a time span that were answered with success.
double shareServed(const SoakBook &Book, TimePoint From, TimePoint Until);

} // namespace comfreyrill::soak
