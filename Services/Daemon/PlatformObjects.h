#pragma once

#include "CallExecution.h"

#include <optional>

namespace comfreyrill {

/// Version of an object; none while the object does not exist.
using ObjectVersion = std::optional<std::uint64_t>;

struct PlatformObject {
  std::uint64_t Version = 0;
  std::string Value;
};

/// Calls to the platform's object API.
class PlatformObjects {
public:
  PlatformObjects(const ExecutionContext &Environment,
                  std::vector<Endpoint> Endpoints);

  /// None when the object does not exist. Fails with Unavailable.
  Awaitable<Result<std::optional<PlatformObject>>> read(std::string Key);

  /// Waits for a version above the known one; none when there was no change.
  Awaitable<Result<std::optional<PlatformObject>>>
  watch(std::string Key, ObjectVersion Known, Duration Wait);

  /// Writes if the version is still the known one. Fails with Conflict when it
  /// is not, and with Unavailable when nothing is known of the outcome.
  Awaitable<Result<std::uint64_t>> update(std::string Key, ObjectVersion Known,
                                          std::string Value);

private:
  Awaitable<Result<HttpResponse>> send(HttpRequest Request, Duration Time);

  ExecutionContext Environment;
  std::vector<Endpoint> Endpoints;
  std::size_t Preferred = 0;
};

} // namespace comfreyrill
