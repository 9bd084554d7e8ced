#pragma once

#include "CallResult.h"
#include "DecisionLog.h"
#include "Metrics.h"
#include "ServiceTable.h"
#include "TargetExchange.h"

#include <LibCore/Random.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// What an execution needs of the daemon; all outlive it.
struct ExecutionContext {
  Executor Context;
  const Clock &TimeSource;
  Random &Generator;
  ConnectionPool &Pool;
  DecisionLog &Decisions;
  Metrics &Figures;
  FailureDomain HostDomain;
  HttpLimits TargetLimits;
};

/// Asked around each attempt of a call that must not run twice.
struct AttemptHooks {
  /// False forbids the attempt. Empty allows every attempt.
  std::function<bool()> MayBegin;
  /// Told that the target cannot have run the attempt.
  std::function<void()> ProvedNotRun;
};

/// Runs one call: picks targets, sends attempts, retries, and says how the
/// call ended. One object per call.
class CallExecution : public std::enable_shared_from_this<CallExecution> {
public:
  CallExecution(ExecutionContext &Environment,
                std::shared_ptr<ServiceRuntime> Runtime, CallRequest Call,
                HttpRequest Request, RequestId Id, bool IsIdempotent,
                TimePoint Deadline, AttemptHooks Hooks);

  Awaitable<CallResult> run();

  /// Ends all attempts, because the caller has left.
  void cancel();

private:
  enum class AttemptVerdict { Final, TryAgain };

  Awaitable<Choice> chooseOrWait();
  Awaitable<AttemptReport> attempt(TargetIndex Chosen,
                                   std::shared_ptr<AttemptHandle> Handle);
  bool mayTryAgain(const AttemptReport &Report) const;
  CallResult refusal(std::string_view Reason) const;
  CallResult failure(const AttemptReport &Report) const;
  void logChoice(const Choice &Chosen) const;
  void logEnd(const TargetId &Target, const AttemptReport &Report,
              Duration Elapsed) const;

  ExecutionContext &Environment;
  std::shared_ptr<ServiceRuntime> Runtime;
  CallRequest Call;
  HttpRequest Request;
  RequestId Id;
  bool IsIdempotent;
  TimePoint Deadline;
  AttemptHooks Hooks;
  TimePoint Started;
  std::vector<TargetIndex> Tried;
  std::uint32_t Attempts = 0;
  /// True once an attempt ended that a target may have run.
  bool MayHaveRun = false;
  bool CallerLeft = false;
  std::shared_ptr<AttemptHandle> Current;
  TargetId CurrentTarget;
};

} // namespace comfreyrill
