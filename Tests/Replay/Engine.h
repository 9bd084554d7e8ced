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
  Arrive,
  Reach,
  Finish,
  Answer,
  CancelReach,
  HedgeDue,
  ProbeReach,
  ProbeAnswer,
  PeerReport,
  Exchange,
  PeerLoad,
  Tick,
  TargetDown,
  HostLost,
};

struct Event {
  TimePoint At;
  std::uint64_t Order = 0;
  EventKind Kind = EventKind::Arrive;
  std::uint32_t Id = 0;
  std::uint32_t Host = 0;
  /// Process of the host for which the event is meant; a later one ignores it.
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
  /// The host has taken account of the end.
  bool Closed = false;
  bool First = true;
  AttemptEnd End = AttemptEnd::Answered;
  LoadReport Report;
  bool HasReport = false;
  TimePoint Started;
  double Work = 0;
};

struct Call {
  std::uint32_t Host = 0;
  bool Done = false;
  bool Waiting = false;
  std::uint32_t Open = 0;
  std::vector<TargetIndex> Tried;
  std::vector<std::uint32_t> Attempts;
};

struct SimulatedTarget {
  std::uint32_t Running = 0;
  std::deque<std::uint32_t> Queue;
  std::vector<std::uint32_t> Present;
};

struct SimulatedHost {
  RoutingState Routing;
  BaselineState Baseline;
  std::uint32_t Incarnation = 0;
  bool TickPending = false;
  std::vector<std::uint32_t> OpenCalls;
};

struct PendingProbe {
  TargetIndex Target = 0;
  bool Reached = false;
  LoadReport Report;
  TimePoint AnsweredAt;
};

/// One event loop that replays a trace. Calls and attempts are numbered; events
/// refer to the numbers.
class Engine {
public:
  Engine(const Trace &Input, const PolicySpec &Spec);
  Outcome run();

private:
  void schedule(TimePoint At, EventKind Kind, std::uint32_t Id,
                std::uint32_t Host = 0);
  void handle(const Event &Next);
  bool isHostEvent(EventKind Kind) const;

  // Hosts.
  void startHost(std::uint32_t Host);
  void loseHost(std::uint32_t Host);
  std::uint32_t liveHost(std::uint32_t Host) const;
  void arrive(std::uint32_t CallId);
  void place(std::uint32_t CallId, bool FromQueue);
  bool dispatch(std::uint32_t CallId, bool FromQueue);
  TargetChoice choose(SimulatedHost &Host, const Call &Subject,
                      std::uint32_t HostId);
  void startAttempt(std::uint32_t CallId, TargetIndex Target);
  void answer(std::uint32_t AttemptId);
  void retryOrFail(std::uint32_t CallId, AttemptEnd End);
  void closeAttempt(std::uint32_t AttemptId, AttemptEnd End);
  void complete(std::uint32_t CallId);
  void giveUp(std::uint32_t CallId, bool Refused);
  void endCall(std::uint32_t CallId);
  void hedge(std::uint32_t CallId);
  void drainQueue(std::uint32_t Host);
  void tick(std::uint32_t Host);
  void probe(std::uint32_t Host);
  void exchange(std::uint32_t Host);
  void deliverExchange(std::uint32_t Host);
  void probeAnswer(std::uint32_t Host, std::uint32_t ProbeId);
  void deliverReport(std::uint32_t Sender, std::uint32_t ProbeId);
  void checkBudget();

  // Targets.
  void reach(std::uint32_t AttemptId);
  void finish(std::uint32_t AttemptId);
  void cancelReach(std::uint32_t AttemptId);
  void startNext(TargetIndex Target);
  void run(std::uint32_t AttemptId);
  void leaveTarget(std::uint32_t AttemptId);
  void sendBack(std::uint32_t AttemptId, AttemptEnd End, Duration Delay,
                bool WithReport);
  void targetDown(TargetIndex Target);
  LoadReport reportOf(TargetIndex Target) const;

  const Trace &Input;
  const PolicySpec Spec;
  ServiceConfig Service;
  Outcome Result;
  TimePoint Now;
  std::uint64_t Order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::vector<Call> Calls;
  std::vector<Attempt> Attempts;
  std::vector<PendingProbe> Probes;
  std::vector<SimulatedTarget> Targets;
  std::vector<TrueLoad> Loads;
  std::vector<SimulatedHost> Hosts;
  std::vector<std::vector<PeerTargetLoad>> Sent;
  comfreyrill::Random Source;
  std::uint64_t ControlBytes = 0;
  std::uint64_t CallsHandled = 0;
};

} // namespace comfreyrill::replay
