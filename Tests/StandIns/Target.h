#pragma once

#include "RunLog.h"
#include "TargetBehaviour.h"

#include <deque>
#include <memory>
#include <unordered_set>

namespace comfreyrill::standins {

/// One test target with its own listener.
class Target : public std::enable_shared_from_this<Target> {
public:
  Target(const Executor &Context, const Clock &TimeSource, RunLog &Log,
         std::string Id, const TargetBehaviour &Behaviour,
         const Random &Generator);

  Result<void> listen(const Endpoint &Requested);
  Endpoint endpoint() const { return Local; }
  const std::string &id() const { return Id; }
  TargetBehaviour &behaviour() { return Behaviour; }

  /// Simulates a crash. Depending on the crash scope, either closes all
  /// connections, ends all runs and listens again after the down time, or
  /// exits the process.
  void crash();
  void close();

  /// Handles one request; the listener calls this function as well.
  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft);

  std::size_t inFlight() const { return InFlight; }
  std::size_t queued() const { return Waiting.size(); }

private:
  struct PendingRequest;
  struct ReportedLoad {
    TimePoint Since;
    std::size_t InFlight = 0;
    std::size_t Queued = 0;
  };

  Result<void> openServer();
  Awaitable<HttpResponse> runRequest(HttpRequest Request, RequestTarget Parts,
                                     std::shared_ptr<Disconnect> CallerLeft);
  Awaitable<void> waitForSlot(std::shared_ptr<PendingRequest> Current,
                              TimePoint Deadline);
  Awaitable<RunEnd> execute(std::shared_ptr<PendingRequest> Current,
                            TimePoint Deadline);
  void releaseSlot();
  void recordLoad();
  ReportedLoad reportedLoad() const;
  HttpResponse withLoad(HttpResponse Response) const;

  Executor Context;
  const Clock &TimeSource;
  RunLog &Log;
  std::string Id;
  TargetBehaviour Behaviour;
  Random Generator;
  SpeedProfile Speed;
  Endpoint Local;
  std::shared_ptr<HttpServer> Server;
  Timer DownTimer;
  std::size_t InFlight = 0;
  std::deque<std::shared_ptr<PendingRequest>> Waiting;
  std::unordered_set<std::shared_ptr<PendingRequest>> Active;
  // Earlier loads, used for delayed load reports.
  std::deque<ReportedLoad> LoadHistory;
};

} // namespace comfreyrill::standins
