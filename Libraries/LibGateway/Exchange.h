#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibGateway/Attempt.h>
#include <LibRouting/LoadReport.h>

#include <optional>
#include <string>

namespace comfreyrill {

/// What a host tells another one of a request that it relays.
struct RelayMetadata {
  /// Attempts that the request may still have.
  std::uint32_t AttemptsMaximum = 1;
  /// IP address of the caller.
  std::string CallerAddress;
};

/// Fields of a caller's request that routing needs.
struct RequestMetadata {
  /// Empty when the caller sent none.
  RequestId Id;
  std::string Host;
  std::string Path;
  /// Time that the caller waits from now; unset when the caller names no limit.
  std::optional<Duration> TimeLeft;
  /// Key of a client account; empty when the caller sent none. It must not be
  /// logged.
  std::string AccessKey;
  /// Set when another host has relayed the request.
  std::optional<RelayMetadata> Relayed;
};

/// What the sender of an answer says about itself, in an answer of any kind.
struct TargetSignals {
  /// The target that answered; empty when the answer does not name it.
  TargetId Responder;
  /// The answer comes from another target than the addressed one.
  bool IsMisdirected = false;
  /// The target leaves and must receive no new request.
  bool IsLeaving = false;
  /// Time for which the target wants nothing from this host.
  std::optional<Duration> Pause;
  /// Requests per second that the target takes from all hosts together; unset
  /// when the answer names no limit.
  std::optional<double> RateLimit;
};

/// Decoded properties of a target's answer to a request.
struct TargetAnswer {
  unsigned Status = 0;
  /// The answer proves that the target has not run the request.
  bool IsProvedNotRun = false;
  /// Another target than the addressed one listens at the address.
  bool IsMisdirected = false;
  /// The answer carries a signature of the target.
  bool IsSigned = false;
  /// The body has a content encoding that was not requested.
  bool IsEncoded = false;
  std::optional<LoadReport> Load;
};

/// Decoded answer of a target to a probe.
struct ProbeAnswer {
  bool IsHealthy = false;
  /// Another target than the addressed one listens at the address.
  bool IsMisdirected = false;
  /// The target that answered; empty when the answer does not name it.
  TargetId Responder;
  std::optional<LoadReport> Load;
  /// Time for which the target stays cold; unset when it does not say.
  std::optional<Duration> ColdTimeLeft;
};

/// True when the addressed target asks for a pause.
bool asksForPause(const TargetSignals &Signals, const TargetId &Addressed);

/// Derives the outcome of an attempt from an answer that arrived completely.
AttemptOutcome classifyAnswer(const TargetAnswer &Answer);

} // namespace comfreyrill
