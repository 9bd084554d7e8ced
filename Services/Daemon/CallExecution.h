#pragma once

#include "CallResult.h"
#include "DecisionLog.h"
#include "Metrics.h"
#include "ServiceTable.h"
#include "TargetExchange.h"

#include <LibCore/Random.h>
#include <LibQuarantine/Quarantine.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// Dependencies that the services of the daemon share. Each dependency outlives
/// the services.
struct DaemonDependencies {
  Executor Context;
  const Clock &TimeSource;
  Random &Generator;
  ConnectionPool &Pool;
  DecisionLog &Decisions;
  Metrics &ProcessMetrics;
  ServiceTable &Services;
  FailureDomain HostDomain;
  HttpLimits TargetLimits;
};

/// Callbacks around the attempts of a call that must not run twice.
struct AttemptHooks {
  /// Returns false to forbid the attempt. An empty function allows every
  /// attempt.
  std::function<bool()> MayBegin;
  /// Called when the target cannot have run the attempt.
  std::function<void()> ProvedNotRun;
};

/// Callbacks that report crashes of targets during attempts and decide on
/// retries after a crash. Empty functions are not called.
struct CrashHooks {
  std::function<void(const TargetId &Target)> OnCrash;
  std::function<void()> OnAnswer;
  /// Returns true when the request is suspected of crashing targets.
  std::function<bool()> HasCrashEvidence;
  std::function<CrashRetryDecision(TimePoint CrashedAt)> MayRetry;
};

/// Input of a call execution, shared by all attempts of the call.
struct ExecutionInput {
  std::shared_ptr<ServiceRuntime> Runtime;
  CallRequest Call;
  /// The request as the target receives it.
  HttpRequest Request;
  RequestId Id;
  bool IsIdempotent = false;
  TimePoint Deadline;
  AttemptHooks Hooks;
  CrashHooks Crashes;
};

/// Runs one call: selects targets, sends attempts, retries and hedges, and
/// returns the result. One object per call.
class CallExecution : public std::enable_shared_from_this<CallExecution> {
public:
  CallExecution(const DaemonDependencies &Dependencies, ExecutionInput Input);

  Awaitable<CallResult> run();

  /// Cancels all attempts, because the caller has disconnected.
  void cancel();

  /// Must be called before run.
  void setCrashHooks(CrashHooks Hooks) { Input.Crashes = std::move(Hooks); }
  const CallRequest &call() const { return Input.Call; }
  const HttpRequest &request() const { return Input.Request; }

private:
  /// One attempt in progress or ended.
  struct Attempt {
    std::uint32_t Number = 0;
    TargetIndex Target = 0;
    TargetConfig Config;
    std::shared_ptr<AttemptHandle> Handle = std::make_shared<AttemptHandle>();
    AttemptReport Report;
    bool IsDone = false;
  };

  Awaitable<TargetChoice> chooseOrWait();
  TargetChoice choose();
  Awaitable<void> runAttempt(std::shared_ptr<Attempt> Current,
                             HttpRequest &OutgoingRequest);
  std::shared_ptr<Attempt> startAttempt(TargetIndex Target);
  /// False when the target began to drain or to pause, or left the manifest,
  /// after it had been chosen.
  bool mayBegin(const Attempt &Current) const;
  void recordAttemptResult(Attempt &Ended, TimePoint Begin, TimePoint End);

  void armHedge();
  void startHedge();
  Awaitable<void> runHedge(std::shared_ptr<Attempt> Current);
  /// Waits for the hedge, if one is in flight, and returns its answer. Returns
  /// nothing when there is no hedge or it was not answered.
  Awaitable<std::optional<CallResult>> hedgeAnswer();

  Awaitable<bool> mayRetry(const AttemptReport &Report);
  Awaitable<bool> mayRetryAfterCrash();
  CallResult refusal(std::string_view Reason) const;
  /// Returns a NotRun result that says when a target may take the request.
  CallResult notRun(std::string_view Reason, std::string Message) const;
  CallResult failure(const AttemptReport &Report) const;
  void logTargetChoice(const TargetChoice &Chosen,
                       std::string_view Event) const;
  void logFailedAttempt(const Attempt &Ended, Duration Elapsed) const;

  DaemonDependencies Dependencies;
  ExecutionInput Input;
  TimePoint Started;
  std::vector<TargetIndex> Tried;
  std::uint32_t Attempts = 0;
  /// Attempts that nothing was sent for.
  std::uint32_t WithdrawnAttempts = 0;
  /// True once an attempt has ended without proof that its target did not run
  /// the request.
  bool MayHaveRun = false;
  bool HasCallerLeft = false;
  std::shared_ptr<Attempt> Primary;
  std::shared_ptr<Attempt> Hedge;
  std::optional<Timer> HedgeTimer;
  Timer *WaitTimer = nullptr;
};

} // namespace comfreyrill
