#pragma once

#include "Policies.h"
#include "Replay.h"
#include "Trace.h"

#include <LibRouting/Routing.h>

#include <cstdint>
#include <deque>
#include <queue>
#include <vector>

namespace comfreyrill::replay {

enum class EventKind {
  CallArrival,
  AttemptArrival,
  AttemptFinish,
  AttemptResponse,
  CancelArrival,
  HedgeTimer,
  ProbeArrival,
  ProbeResponse,
  PeerProbeReport,
  LoadExchange,
  PeerLoadArrival,
  QueueTimer,
  TargetDown,
  HostLost,
};

struct Event {
  TimePoint At;
  std::uint64_t Order = 0;
  EventKind Kind = EventKind::CallArrival;
  std::uint32_t Id = 0;
  std::uint32_t Host = 0;
  /// Incarnation of the host that the event is meant for; a later incarnation
  /// ignores the event.
  std::uint32_t Incarnation = 0;

  bool operator>(const Event &Other) const {
    return At != Other.At ? At > Other.At : Order > Other.Order;
  }
};

enum class AttemptPhase { Travelling, Queued, Running, Ended };

struct Attempt {
  std::uint32_t Call = 0;
  TargetIndex Target = 0;
  std::uint32_t Host = 0;
  AttemptPhase Phase = AttemptPhase::Travelling;
  /// The host has recorded the end of the attempt.
  bool IsClosed = false;
  bool IsFirstAttempt = true;
  AttemptEnd End = AttemptEnd::Answered;
  LoadReport Report;
  bool HasReport = false;
  TimePoint Started;
  double Work = 0;
};

struct Call {
  std::uint32_t Host = 0;
  bool IsDone = false;
  bool IsQueued = false;
  std::uint32_t OpenAttempts = 0;
  std::vector<TargetIndex> Tried;
  std::vector<std::uint32_t> Attempts;
};

struct SimulatedTarget {
  std::uint32_t Running = 0;
  std::deque<std::uint32_t> Queue;
  /// Attempts that are queued or running.
  std::vector<std::uint32_t> PresentAttempts;
};

struct SimulatedHost {
  RoutingState Routing;
  BaselineState Baseline;
  std::uint32_t Incarnation = 0;
  bool IsQueueTimerPending = false;
  std::vector<std::uint32_t> OpenCalls;
};

struct PendingProbe {
  TargetIndex Target = 0;
  bool Reached = false;
  LoadReport Report;
  TimePoint AnsweredAt;
};

/// Discrete-event simulation of hosts and targets that replays a trace. Events
/// refer to calls, attempts and probes by their index.
class Engine {
public:
  Engine(const Trace &Input, const PolicySpec &Spec);
  ReplayResult run();

private:
  void schedule(TimePoint At, EventKind Kind, std::uint32_t Id,
                std::uint32_t Host = 0);
  void handle(const Event &Next);
  bool isHostEvent(EventKind Kind) const;

  // Hosts.
  void startHost(std::uint32_t Host);
  void loseHost(std::uint32_t Host);
  std::uint32_t liveHost(std::uint32_t Host) const;
  void handleCallArrival(std::uint32_t CallId);
  void dispatchOrQueue(std::uint32_t CallId, bool FromQueue);
  bool tryDispatch(std::uint32_t CallId, bool FromQueue);
  TargetChoice selectTarget(SimulatedHost &Host, const Call &CurrentCall,
                            std::uint32_t HostId);
  void startAttempt(std::uint32_t CallId, TargetIndex Target);
  void handleResponse(std::uint32_t AttemptId);
  void retryOrFail(std::uint32_t CallId, AttemptEnd End);
  void closeAttempt(std::uint32_t AttemptId, AttemptEnd End);
  void completeCall(std::uint32_t CallId);
  void failCall(std::uint32_t CallId, bool Refused);
  void endCall(std::uint32_t CallId);
  void sendHedge(std::uint32_t CallId);
  void dispatchQueuedCalls(std::uint32_t Host);
  void handleQueueTimer(std::uint32_t Host);
  void sendProbe(std::uint32_t Host);
  void sendLoadExchange(std::uint32_t Host);
  void deliverLoadExchange(std::uint32_t Host);
  void handleProbeResponse(std::uint32_t Host, std::uint32_t ProbeId);
  void deliverProbeReport(std::uint32_t Sender, std::uint32_t ProbeId);
  void checkBudget();

  // Targets.
  void handleAttemptArrival(std::uint32_t AttemptId);
  void finishAttempt(std::uint32_t AttemptId);
  void handleCancelArrival(std::uint32_t AttemptId);
  void startNextQueued(TargetIndex Target);
  void startWork(std::uint32_t AttemptId);
  void removeFromTarget(std::uint32_t AttemptId);
  void sendResult(std::uint32_t AttemptId, AttemptEnd End, Duration Delay,
                  bool WithReport);
  void targetDown(TargetIndex Target);
  LoadReport loadReportOf(TargetIndex Target) const;

  const Trace &Input;
  const PolicySpec Spec;
  ServiceConfig Service;
  ReplayResult Result;
  TimePoint Now;
  std::uint64_t Order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::vector<Call> Calls;
  std::vector<Attempt> Attempts;
  std::vector<PendingProbe> Probes;
  std::vector<SimulatedTarget> Targets;
  std::vector<TrueLoad> Loads;
  std::vector<SimulatedHost> Hosts;
  /// Loads in the latest exchange message of each host.
  std::vector<std::vector<PeerTargetLoad>> SentLoads;
  comfreyrill::Random Generator;
  std::uint64_t ControlBytes = 0;
  std::uint64_t CallsHandled = 0;
};

} // namespace comfreyrill::replay
