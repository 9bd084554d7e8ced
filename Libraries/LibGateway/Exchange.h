#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibGateway/Attempt.h>
#include <LibRouting/LoadReport.h>

#include <optional>
#include <string>

namespace comfreyrill {

/// What a caller's request says of itself.
struct RequestMetadata {
  /// Empty when the caller gave none.
  RequestId Id;
  std::string Host;
  std::string Path;
  /// How long the caller will wait, from now.
  std::optional<Duration> TimeLeft;
};

/// What the answer of a target to a request says.
struct TargetAnswer {
  unsigned Status = 0;
  /// The target states that it has not run the request.
  bool IsProvedNotRun = false;
  /// The target that holds the address is another one than was asked for.
  bool IsMisdirected = false;
  /// Carries the target's signature over its answer.
  bool IsSigned = false;
  /// The body is encoded although nobody asked for that.
  bool IsEncoded = false;
  std::optional<LoadReport> Load;
};

/// What the answer to a probe says.
struct ProbeAnswer {
  bool IsHealthy = false;
  /// The target that answered; empty when it does not say.
  TargetId Responder;
  std::optional<LoadReport> Load;
};

/// What an answer that arrived in full means for the request.
AttemptOutcome classifyAnswer(const TargetAnswer &Answer);

} // namespace comfreyrill
