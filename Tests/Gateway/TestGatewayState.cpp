#include <GatewayState.h>
#include <TargetUpdateCodec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

class GatewayStateTest : public testing::Test {
protected:
  static Configuration configuration(std::uint64_t Version) {
    Configuration Made;
    Made.Version = {Version};
    return Made;
  }

  static TargetRegistration target(std::string Id) {
    TargetRegistration Made;
    Made.Id = TargetId(std::move(Id));
    Made.Service = ServiceName("stock");
    Made.Address = {"10.0.0.1", 8080};
    Made.Domain = FailureDomain("west");
    Made.Slots = 6;
    return Made;
  }

  /// A configuration whose cold targets bear six requests per second.
  static Configuration coldConfiguration() {
    Configuration Made = configuration(1);
    ServiceDescription Stock;
    Stock.Name = ServiceName("stock");
    Stock.ColdTime = 20s;
    Stock.ColdRate = 6;
    Made.Services = {Stock};
    return Made;
  }

  static TargetRegistration coldTarget(std::string Id) {
    TargetRegistration Made = target(std::move(Id));
    Made.ColdTime = 20s;
    return Made;
  }

  static DomainHosts domainHosts(std::size_t Self, std::size_t Count) {
    DomainHosts Made;
    Made.Domain = FailureDomain("west");
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const HostId Id("edge-" + std::to_string(Index));
      if (Index == Self)
        Made.Self = Id;
      else
        Made.Others.push_back({Id, true});
    }
    return Made;
  }

  /// Lets the time pass as on the only host of the domain.
  void runAlone(Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += 50ms) {
      TimeSource.advance(50ms);
      CurrentState.updateHosts(domainHosts(0, 1), 1);
    }
  }

  CandidateList listed() {
    return CurrentState.candidates(ServiceName("stock"), FailureDomain("west"));
  }

  ManualClock TimeSource;
  Log Output{LogLevel::Error, ""};
  RateLimitedLog Events{Output, TimeSource};
  Random Generator{20261204};
  GatewayState CurrentState{TimeSource, Generator, Events};
};

// Guards against replacing the configuration with an older one, whatever the
// source.
TEST_F(GatewayStateTest, ConfigurationVersionNeverDecreases) {
  EXPECT_TRUE(
      CurrentState.applyConfiguration(configuration(6), "six", "store"));
  EXPECT_FALSE(
      CurrentState.applyConfiguration(configuration(4), "four", "host"));
  EXPECT_FALSE(
      CurrentState.applyConfiguration(configuration(6), "again", "host"));
  EXPECT_EQ(CurrentState.version().Value, 6U);
  EXPECT_EQ(CurrentState.compressedConfiguration(), "six");
}

// Guards against targets that join a running fleet and get nothing, because all
// hosts have connections to the others, and against hosts that take all targets
// for new ones after their start.
TEST_F(GatewayStateTest, TargetsThatJoinAreMarkedForAWhile) {
  const auto HasJoined = [&](const std::string &Id) {
    for (const TargetCandidate &Listed : listed().Targets)
      if (Listed.Id.Value == Id)
        return Listed.HasJoinedLately;
    ADD_FAILURE() << Id << " is not listed";
    return false;
  };
  CurrentState.applyTargetChange({TargetId("a"), target("a"), {1}}, "test");
  EXPECT_FALSE(HasJoined("a"));
  TimeSource.advance(1s);
  CurrentState.applyTargetChange({TargetId("b"), target("b"), {2}}, "test");
  EXPECT_FALSE(HasJoined("b"));
  TimeSource.advance(60s);
  CurrentState.applyTargetChange({TargetId("c"), target("c"), {3}}, "test");
  EXPECT_TRUE(HasJoined("c"));
  EXPECT_FALSE(HasJoined("a"));
  TimeSource.advance(11s);
  EXPECT_FALSE(HasJoined("c"));
}

// Guards against new requests to draining targets.
TEST_F(GatewayStateTest, DrainingTargetsAreNoCandidates) {
  TargetRegistration Leaving = target("b");
  Leaving.IsDraining = true;
  CurrentState.applyTargetList({target("a"), Leaving}, {1}, "store");
  const auto Found =
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
          .Targets;
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().Id, TargetId("a"));
  EXPECT_TRUE(Found.front().IsInLocalDomain);
  EXPECT_TRUE(
      CurrentState.candidates(ServiceName("desk"), FailureDomain("west"))
          .Targets.empty());
}

// Guards against requests to a failing target while other targets are
// available.
TEST_F(GatewayStateTest, FailingTargetsAreSuspectForSomeTime) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  CurrentState.recordFailure(TargetId("a"), TargetFailure::Connection);
  EXPECT_TRUE(
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
          .Targets.front()
          .IsSuspect);
  TimeSource.advance(10s);
  EXPECT_FALSE(
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
          .Targets.front()
          .IsSuspect);
}

// Guards against a target that answers probes but fails every request. In a
// large fleet each host sends too few requests to detect that alone.
TEST_F(GatewayStateTest, FailuresReportedByOtherHostsEjectATarget) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  for (int Host = 0; Host < 5; ++Host) {
    GatewayState Other(TimeSource, Generator, Events);
    Other.applyTargetList({target("a")}, {1}, "store");
    Other.recordFailure(TargetId("a"), TargetFailure::Attempt);
    for (const auto &[Id, Counts] : Other.takeUnsharedOutcomes())
      CurrentState.recordSharedOutcomes(Id, Counts);
    EXPECT_TRUE(Other.takeUnsharedOutcomes().empty());
  }
  EXPECT_TRUE(
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
          .Targets.front()
          .IsSuspect);
}

// Guards against using requests that must not be retried to test a target after
// its ejection.
TEST_F(GatewayStateTest, TargetIsOnProbationAfterItsEjection) {
  CurrentState.applyTargetList({target("a"), target("b")}, {1}, "store");
  const auto First = [&] {
    return CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
        .Targets.front();
  };
  for (int Failure = 0; Failure < 5; ++Failure)
    CurrentState.recordFailure(TargetId("a"), TargetFailure::Attempt);
  EXPECT_TRUE(First().IsSuspect);
  // The ejection lasts one to two seconds.
  TimeSource.advance(2s);
  EXPECT_FALSE(First().IsSuspect);
  EXPECT_TRUE(First().IsOnProbation);
  CurrentState.recordSuccess(TargetId("a"));
  EXPECT_FALSE(First().IsOnProbation);
}

// Guards against ejecting nearly all targets of a service when requests fail
// for a reason outside the targets.
TEST_F(GatewayStateTest, HalfOfTheTargetsAreNeverEjected) {
  std::vector<TargetRegistration> All;
  for (const char *Id : {"a", "b", "c", "d"})
    All.push_back(target(Id));
  CurrentState.applyTargetList(All, {1}, "store");
  for (const TargetRegistration &Failing : All)
    for (int Failure = 0; Failure < 5; ++Failure)
      CurrentState.recordFailure(Failing.Id, TargetFailure::Attempt);
  std::size_t Used = 0;
  for (const TargetCandidate &Candidate :
       CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
           .Targets)
    Used += Candidate.IsSuspect ? 0 : 1;
  EXPECT_EQ(Used, 2U);
}

// Guards against a host that connects to hundreds of remote targets in turn,
// and against hosts that all prefer the same ones.
TEST_F(GatewayStateTest, EachHostPrefersASubsetOfManyRemoteTargets) {
  GatewayState Other(TimeSource, Generator, Events);
  std::vector<TargetRegistration> All;
  for (int Index = 0; Index < 300; ++Index) {
    All.push_back(target("t" + std::to_string(Index)));
    All.back().Domain = FailureDomain("east");
  }
  CurrentState.applyTargetList(All, {1}, "store");
  Other.applyTargetList(All, {1}, "store");
  std::size_t Preferred = 0;
  std::size_t Shared = 0;
  const auto Own =
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
          .Targets;
  const auto Others =
      Other.candidates(ServiceName("stock"), FailureDomain("west")).Targets;
  for (std::size_t Index = 0; Index < Own.size(); ++Index) {
    Preferred += Own[Index].IsInPreferredSubset ? 1 : 0;
    Shared +=
        Own[Index].IsInPreferredSubset && Others[Index].IsInPreferredSubset ? 1
                                                                            : 0;
  }
  EXPECT_GT(Preferred, 16U);
  EXPECT_LT(Preferred, 64U);
  EXPECT_LT(Shared, 16U);
}

// Guards against an isolated host that makes the others eject healthy targets,
// and against outcomes that circulate between hosts.
TEST_F(GatewayStateTest, OnlyOwnAttemptsAreSharedWithOtherHosts) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  CurrentState.recordFailure(TargetId("a"), TargetFailure::Connection);
  CurrentState.recordFailure(TargetId("a"), TargetFailure::Probe);
  CurrentState.recordSharedOutcomes(TargetId("a"), {1, 1});
  EXPECT_TRUE(CurrentState.takeUnsharedOutcomes().empty());
}

// Guards against an older load report of another host replacing this host's
// own.
TEST_F(GatewayStateTest, LatestLoadIsKept) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  LoadReport Own;
  Own.InFlight = 1;
  CurrentState.recordLoad(TargetId("a"), Own);
  LoadReport Other;
  Other.InFlight = 5;
  CurrentState.recordSharedLoad(TargetId("a"), Other, TimeSource.now() - 10ms);
  EXPECT_EQ(CurrentState.targetStats(TargetId("a")).Load->InFlight, 1U);
  CurrentState.recordSharedLoad(TargetId("a"), Other, TimeSource.now() + 10ms);
  EXPECT_EQ(CurrentState.targetStats(TargetId("a")).Load->InFlight, 5U);
  EXPECT_EQ(CurrentState.takeUnsharedLoads().size(), 1U);
  EXPECT_TRUE(CurrentState.takeUnsharedLoads().empty());
}

TargetSignals leaving() {
  TargetSignals Made;
  Made.IsLeaving = true;
  return Made;
}

TargetSignals pausing(Duration Requested) {
  TargetSignals Made;
  Made.Pause = Requested;
  return Made;
}

// Guards against new requests to a target that has said in an answer that it
// leaves, while the store, a restored copy and other hosts call it ready.
TEST_F(GatewayStateTest, TargetThatSaysThatItLeavesIsTakenOut) {
  TargetRegistration First = target("a");
  First.StartedAtMilliseconds = 1;
  CurrentState.applyTargetList({First}, {1}, "store");
  CurrentState.recordSignals({TargetId("a"), 1}, First.Address, leaving(),
                             SignalSource::Answer);
  const auto IsCandidate = [&] {
    return !CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
                .Targets.empty();
  };
  EXPECT_FALSE(IsCandidate());
  EXPECT_FALSE(CurrentState.mayUse({TargetId("a"), 1}));
  EXPECT_FALSE(CurrentState.admitsAttempt({TargetId("a"), 1}));
  CurrentState.applyTargetChange({First.Id, First, {2}, {}}, "store");
  CurrentState.applyTargetDelta({{}, {3}, {{First.Id, First, {3}, {}}}, {}},
                                "host");
  CurrentState.applyTargetChange({First.Id, std::nullopt, {4}, {}}, "store");
  CurrentState.applyTargetList({First}, makeRevision(2, 1), "store");
  EXPECT_FALSE(IsCandidate());
  TargetRegistration Second = First;
  Second.StartedAtMilliseconds = 2;
  CurrentState.applyTargetChange({Second.Id, Second, makeRevision(2, 2), {}},
                                 "store");
  EXPECT_TRUE(IsCandidate());
  EXPECT_TRUE(CurrentState.admitsAttempt({TargetId("a"), 2}));
}

// Guards against telling the other hosts more than once, or about processes
// that they have named themselves.
TEST_F(GatewayStateTest, LeavingProcessesAreSharedOnce) {
  CurrentState.applyTargetList({target("a"), target("b")}, {1}, "store");
  const TargetProcess Process{TargetId("a"), 0};
  for (int Count = 0; Count < 3; ++Count)
    CurrentState.recordLeaving(Process, SignalSource::Probe);
  CurrentState.recordLeaving({TargetId("b"), 0}, SignalSource::Host);
  const auto Shared = CurrentState.takeUnsharedLeaving();
  ASSERT_EQ(Shared.size(), 1U);
  EXPECT_EQ(Shared.front(), Process);
  CurrentState.recordLeaving(Process, SignalSource::Answer);
  EXPECT_TRUE(CurrentState.takeUnsharedLeaving().empty());
  EXPECT_EQ(CurrentState.signalCounts().Leaving, 2U);
}

// Guards against taking out a target because of an answer of another one that
// has got its address.
TEST_F(GatewayStateTest, SignalsOfAnotherTargetCountForThatOne) {
  TargetRegistration Elsewhere = target("c");
  Elsewhere.Address = {"10.0.0.2", 8080};
  CurrentState.applyTargetList({target("a"), target("b"), Elsewhere}, {1},
                               "store");
  const TargetProcess Addressed{TargetId("a"), 0};
  const Endpoint Address = target("a").Address;
  TargetSignals Signals = leaving();
  Signals.Pause = 2s;
  Signals.IsMisdirected = true;
  CurrentState.recordSignals(Addressed, Address, Signals, SignalSource::Answer);
  Signals.Responder = TargetId("c");
  CurrentState.recordSignals(Addressed, Address, Signals, SignalSource::Answer);
  Signals.Responder = TargetId("unknown");
  CurrentState.recordSignals(Addressed, Address, Signals, SignalSource::Answer);
  EXPECT_EQ(CurrentState.signalCounts().Leaving, 0U);
  EXPECT_EQ(CurrentState.signalCounts().Paused, 0U);
  Signals.Responder = TargetId("b");
  CurrentState.recordSignals(Addressed, Address, Signals, SignalSource::Answer);
  EXPECT_TRUE(CurrentState.mayUse(Addressed));
  EXPECT_FALSE(CurrentState.mayUse({TargetId("b"), 0}));
  EXPECT_TRUE(CurrentState.mayUse({TargetId("c"), 0}));
}

// Guards against requests to a target in its pause, also after its registration
// has disappeared and come back, and against a rush of requests after it.
TEST_F(GatewayStateTest, PausedTargetGetsNothingAndResumesGradually) {
  const TargetProcess Process{TargetId("a"), 0};
  const auto Listed = [&] {
    return CurrentState.candidates(ServiceName("stock"), FailureDomain("west"));
  };
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  const TimePoint End = TimeSource.now() + 3s;
  CurrentState.recordSignals(Process, target("a").Address, pausing(3s),
                             SignalSource::Probe);
  CurrentState.recordSignals(Process, target("a").Address, pausing(1s),
                             SignalSource::Answer);
  EXPECT_TRUE(Listed().Targets.empty());
  EXPECT_EQ(Listed().EarliestPauseEnd, End);
  EXPECT_FALSE(CurrentState.mayUse(Process));
  CurrentState.applyTargetChange({Process.Id, std::nullopt, {2}, {}}, "store");
  EXPECT_FALSE(Listed().EarliestPauseEnd);
  CurrentState.removeExpired();
  TimeSource.advance(2999ms);
  CurrentState.removeExpired();
  CurrentState.applyTargetChange({Process.Id, target("a"), {3}, {}}, "store");
  EXPECT_TRUE(Listed().Targets.empty());
  TimeSource.advance(1ms);
  ASSERT_EQ(Listed().Targets.size(), 1U);
  EXPECT_FALSE(Listed().EarliestPauseEnd);
  CurrentState.beginAttempt(Process);
  EXPECT_TRUE(CurrentState.mayUse(Process));
  EXPECT_FALSE(CurrentState.admitsAttempt(Process));
  EXPECT_TRUE(Listed().Targets.empty());
  EXPECT_EQ(Listed().EarliestPauseEnd, End);
  CurrentState.recordAnswer(Process, TimeSource.now());
  EXPECT_TRUE(CurrentState.admitsAttempt(Process));
  CurrentState.endAttempt(Process);
  EXPECT_EQ(CurrentState.signalCounts().Paused, 1U);
  EXPECT_EQ(CurrentState.signalCounts().Resumed, 1U);
}

// Guards against a rush after a pause that outlives requests from before it.
TEST_F(GatewayStateTest, AnswersToEarlierRequestsDoNotEndTheResumption) {
  const TargetProcess Process{TargetId("a"), 0};
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  const TimePoint SentAt = TimeSource.now();
  for (int Count = 0; Count < 5; ++Count)
    CurrentState.beginAttempt(Process);
  CurrentState.recordSignals(Process, target("a").Address, pausing(1s),
                             SignalSource::Answer);
  TimeSource.advance(1s);
  for (int Count = 0; Count < 5; ++Count) {
    CurrentState.endAttempt(Process);
    CurrentState.recordAnswer(Process, SentAt);
  }
  ASSERT_TRUE(CurrentState.admitsAttempt(Process));
  CurrentState.beginAttempt(Process);
  EXPECT_FALSE(CurrentState.admitsAttempt(Process));
  EXPECT_EQ(CurrentState.signalCounts().Resumed, 1U);
  CurrentState.endAttempt(Process);
  CurrentState.recordAnswer(Process, TimeSource.now());
  CurrentState.beginAttempt(Process);
  EXPECT_TRUE(CurrentState.admitsAttempt(Process));
}

// Guards against a pause that outlasts the process that has asked for it, and
// against one that is longer than the limit.
TEST_F(GatewayStateTest, PauseEndsWithItsProcessAndAtTheLimit) {
  CurrentState.setPausePolicy({10s});
  CurrentState.applyTargetList({target("a"), target("b")}, {1}, "store");
  for (const char *Id : {"a", "b"})
    CurrentState.recordSignals({TargetId(Id), 0}, target(Id).Address,
                               pausing(1000s), SignalSource::Answer);
  TargetRegistration Restarted = target("a");
  Restarted.StartedAtMilliseconds = 1;
  CurrentState.applyTargetChange({Restarted.Id, Restarted, {2}, {}}, "store");
  EXPECT_TRUE(CurrentState.admitsAttempt({TargetId("a"), 1}));
  EXPECT_FALSE(CurrentState.admitsAttempt({TargetId("a"), 0}));
  EXPECT_FALSE(CurrentState.admitsAttempt({TargetId("b"), 0}));
  TimeSource.advance(10s);
  EXPECT_TRUE(CurrentState.admitsAttempt({TargetId("b"), 0}));
}

// Guards against a log in which a target that was idle after its pause never
// returns.
TEST_F(GatewayStateTest, IdleTargetIsReportedAsResumed) {
  CurrentState.applyTargetList({target("a"), target("b")}, {1}, "store");
  for (const char *Id : {"a", "b", "c"})
    CurrentState.recordSignals({TargetId(Id), 0}, target(Id).Address,
                               pausing(1s), SignalSource::Answer);
  CurrentState.recordLeaving({TargetId("b"), 0}, SignalSource::Host);
  TimeSource.advance(1min);
  CurrentState.removeExpired();
  CurrentState.beginAttempt({TargetId("a"), 0});
  EXPECT_EQ(CurrentState.signalCounts().Resumed, 1U);
}

// Guards against a limit after pauses where pauses are switched off.
TEST_F(GatewayStateTest, MaximumOfZeroMeansNoPause) {
  CurrentState.setPausePolicy({0s});
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  const TargetProcess Process{TargetId("a"), 0};
  CurrentState.recordSignals(Process, target("a").Address, pausing(1s),
                             SignalSource::Answer);
  CurrentState.beginAttempt(Process);
  EXPECT_TRUE(CurrentState.admitsAttempt(Process));
  EXPECT_EQ(CurrentState.signalCounts().Paused, 0U);
}

// Guards against deltas to other hosts without a target that leaves.
TEST_F(GatewayStateTest, LeavingTargetIsPartOfTheNextDelta) {
  CurrentState.applyTargetList({target("a"), target("b")}, {1}, "store");
  CurrentState.takePendingDelta();
  CurrentState.recordLeaving({TargetId("a"), 0}, SignalSource::Answer);
  const TargetDelta Delta = CurrentState.takePendingDelta();
  ASSERT_EQ(Delta.Changes.size(), 1U);
  EXPECT_TRUE(Delta.Changes.front().Registration->IsDraining);
}

// Guards against pauses without a limit on their number, and against forgetting
// a long one for it.
TEST_F(GatewayStateTest, PausesThatEndFirstAreForgottenAboveTheLimit) {
  constexpr int Count = 4097;
  std::vector<TargetRegistration> Listed;
  for (int Index = 0; Index < Count; ++Index)
    Listed.push_back(target(std::to_string(Index)));
  CurrentState.applyTargetList(Listed, {1}, "store");
  for (int Index = 0; Index < Count; ++Index)
    CurrentState.recordSignals(
        {Listed[Index].Id, 0}, Listed[Index].Address,
        pausing(std::chrono::seconds(Index == 1 ? 10 : 20)),
        SignalSource::Answer);
  const auto Usable =
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
          .Targets;
  ASSERT_EQ(Usable.size(), 1U);
  EXPECT_EQ(Usable.front().Id, TargetId("1"));
}

// Guards against a log without one line for each pause and one for its end.
TEST_F(GatewayStateTest, EachPauseIsReportedAsResumedOnce) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  const TargetProcess Process{TargetId("a"), 0};
  for (std::uint64_t Round = 1; Round <= 2; ++Round) {
    CurrentState.recordSignals(Process, target("a").Address, pausing(1s),
                               SignalSource::Answer);
    TimeSource.advance(1s);
    for (int Count = 0; Count < 2; ++Count) {
      CurrentState.beginAttempt(Process);
      CurrentState.endAttempt(Process);
    }
    EXPECT_EQ(CurrentState.signalCounts().Resumed, Round);
  }
  TimeSource.advance(1min);
  CurrentState.removeExpired();
  EXPECT_EQ(CurrentState.signalCounts().Resumed, 2U);
}

// Guards against a limit after a pause that ends at once or never.
TEST_F(GatewayStateTest, ResumptionEndsWithoutAnswersAfterSomeTime) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  const TargetProcess Process{TargetId("a"), 0};
  CurrentState.recordSignals(Process, target("a").Address, pausing(1s),
                             SignalSource::Answer);
  TimeSource.advance(2s);
  CurrentState.removeExpired();
  CurrentState.beginAttempt(Process);
  EXPECT_FALSE(CurrentState.admitsAttempt(Process));
  TimeSource.advance(1min);
  CurrentState.removeExpired();
  EXPECT_TRUE(CurrentState.admitsAttempt(Process));
}

// Guards against attempts at a process that is not the registered one.
TEST_F(GatewayStateTest, OnlyTheRegisteredProcessMayBeUsed) {
  TargetRegistration Registered = target("a");
  Registered.StartedAtMilliseconds = 2;
  CurrentState.applyTargetList({Registered}, {1}, "store");
  EXPECT_FALSE(CurrentState.mayUse({TargetId("a"), 1}));
  EXPECT_TRUE(CurrentState.mayUse({TargetId("a"), 2}));
}

// Guards against losing count of requests in flight at a target whose
// registration disappears and comes back.
TEST_F(GatewayStateTest, RequestsInFlightOutliveTheRegistration) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  const TargetProcess Process{TargetId("a"), 0};
  CurrentState.beginAttempt(Process);
  CurrentState.applyTargetChange({Process.Id, std::nullopt, {2}, {}}, "store");
  CurrentState.removeExpired();
  CurrentState.applyTargetChange({Process.Id, target("a"), {3}, {}}, "store");
  EXPECT_EQ(CurrentState.targetStats(Process.Id).InFlight, 1U);
  CurrentState.endAttempt(Process);
  EXPECT_EQ(CurrentState.targetStats(Process.Id).InFlight, 0U);
}

// Guards against requests to a process that has said that it leaves or whose
// pause has not ended, in any order of answers, restarts of the process, lists
// and changes of the store, restores of it, deltas of other hosts and time.
RC_GTEST_PROP(GatewayState, LeavingAndPausedProcessesAreNeverCandidates, ()) {
  Random Choice(*rc::gen::arbitrary<std::uint64_t>());
  ManualClock TimeSource;
  Log Output(LogLevel::Error, "");
  RateLimitedLog Events(Output, TimeSource);
  Random Generator(20261204);
  GatewayState State(TimeSource, Generator, Events);
  std::set<TargetProcess> Leaving;
  std::map<TargetProcess, TimePoint> PausedUntil;
  std::map<std::string, std::uint64_t> Newest;
  std::uint64_t Era = 1;
  for (std::uint64_t Count = 1; Count <= 80; ++Count) {
    TimeSource.advance(std::chrono::milliseconds(randomIndex(Choice, 1500)));
    Era += randomIndex(Choice, 8) == 0 ? 1 : 0;
    const std::string Id(1, static_cast<char>('a' + randomIndex(Choice, 3)));
    Newest[Id] += randomIndex(Choice, 6) == 0 ? 1 : 0;
    TargetRegistration Registered;
    Registered.Id = TargetId(Id);
    Registered.Service = ServiceName("stock");
    Registered.Address = {"10.0.0.1", 8080};
    Registered.StartedAtMilliseconds =
        Newest[Id] -
        std::min<std::uint64_t>(Newest[Id], randomIndex(Choice, 2));
    const TargetProcess Process = processOf(Registered);
    const RegistrationChange Change{
        Registered.Id, Registered, makeRevision(Era, Count), {}};
    const Duration Requested =
        std::chrono::milliseconds(randomIndex(Choice, 6000));
    switch (randomIndex(Choice, 8)) {
    case 0:
      State.applyTargetChange(Change, "store");
      break;
    case 1:
      State.applyTargetList({Registered}, Change.Revision, "store");
      break;
    case 2:
      State.applyTargetDelta({{}, Change.Revision, {Change}, {}}, "host");
      break;
    case 3:
      State.applyTargetChange({Change.Id, std::nullopt, Change.Revision, {}},
                              "store");
      break;
    case 4:
      if (randomIndex(Choice, 3) == 0) {
        State.recordSignals(Process, Registered.Address, leaving(),
                            SignalSource::Answer);
        Leaving.insert(Process);
      }
      break;
    case 5:
      State.beginAttempt(Process);
      State.recordAnswer(Process, TimeSource.now());
      State.endAttempt(Process);
      break;
    default:
      State.recordSignals(Process, Registered.Address, pausing(Requested),
                          SignalSource::Answer);
      PausedUntil[Process] =
          std::max(PausedUntil[Process], TimeSource.now() + Requested);
    }
    State.removeExpired();
    for (const TargetCandidate &Found :
         State.candidates(ServiceName("stock"), FailureDomain("west"))
             .Targets) {
      const TargetProcess Offered{Found.Id, Found.StartedAtMilliseconds};
      RC_ASSERT(!Leaving.contains(Offered));
      RC_ASSERT(PausedUntil[Offered] <= TimeSource.now());
      RC_ASSERT(State.mayUse(Offered));
    }
  }
}

// Guards against hosts whose targets differ from those of the host that watches
// the store.
TEST_F(GatewayStateTest, DeltaBringsAReplicaUpToDate) {
  GatewayState Replica(TimeSource, Generator, Events);
  CurrentState.applyTargetList({target("a"), target("b")}, {3}, "store");
  const auto First = fromWire(toWire(CurrentState.takePendingDelta()));
  ASSERT_TRUE(First);
  EXPECT_TRUE(Replica.applyTargetDelta(First.value(), "host"));
  CurrentState.applyTargetChange({TargetId("a"), std::nullopt, {4}}, "store");
  const auto Second = fromWire(toWire(CurrentState.takePendingDelta()));
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second.value().Base.Value, 3U);
  EXPECT_EQ(Second.value().Changes.size(), 1U);
  EXPECT_TRUE(Replica.applyTargetDelta(Second.value(), "host"));
  EXPECT_EQ(Replica.targets().Targets.size(), 1U);
  EXPECT_EQ(Replica.targets().Revision.Value, 4U);
}

// Guards against requests and probes to the targets of an evacuated domain,
// also when no other target is left, and against targets that stay out of use
// after the evacuation.
TEST_F(GatewayStateTest, TargetsOfEvacuatedDomainsAreNotUsed) {
  TargetRegistration Remote = target("b");
  Remote.Domain = FailureDomain("east");
  CurrentState.applyTargetList({target("a"), Remote}, {1}, "store");
  const auto Candidates = [&] {
    return CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
        .Targets;
  };
  EXPECT_TRUE(CurrentState.applyEvacuationReport(
      {{5}, {FailureDomain("west")}, true}, "store"));
  ASSERT_EQ(Candidates().size(), 1U);
  EXPECT_EQ(Candidates().front().Id, TargetId("b"));
  EXPECT_FALSE(CurrentState.mayUse(processOf(target("a"))));
  EXPECT_FALSE(CurrentState.admitsAttempt(processOf(target("a"))));
  EXPECT_TRUE(CurrentState.admitsAttempt(processOf(Remote)));
  EXPECT_TRUE(CurrentState.applyEvacuationChange(
      {{6}, FailureDomain("east"), true}, "store"));
  EXPECT_TRUE(Candidates().empty());
  EXPECT_FALSE(CurrentState.applyEvacuationReport({{5}, {}, true}, "host"));
  EXPECT_TRUE(Candidates().empty());
  EXPECT_TRUE(CurrentState.applyEvacuationReport({{7}, {}, true}, "host"));
  EXPECT_EQ(Candidates().size(), 2U);
  EXPECT_TRUE(CurrentState.admitsAttempt(processOf(target("a"))));
}

// Guards against requests beyond what a cold target bears, and against limits
// where the configuration names none.
TEST_F(GatewayStateTest, ColdTargetsGetNoMoreThanTheirLimit) {
  const TargetProcess Cold = processOf(coldTarget("a"));
  CurrentState.applyTargetList({coldTarget("a"), target("b")}, {1}, "store");
  EXPECT_EQ(listed().Targets.size(), 2U);
  EXPECT_FALSE(CurrentState.limitsColdTargets());
  EXPECT_TRUE(CurrentState.admitsAttempt(Cold));

  CurrentState.applyConfiguration(coldConfiguration(), "", "test");
  EXPECT_TRUE(CurrentState.limitsColdTargets());
  EXPECT_EQ(listed().Targets.size(), 1U);
  runAlone(3s);
  EXPECT_EQ(listed().Targets.size(), 2U);
  for (int Count = 0; Count < 6; ++Count) {
    EXPECT_TRUE(CurrentState.admitsAttempt(Cold)) << Count;
    CurrentState.beginAttempt(Cold);
    CurrentState.endAttempt(Cold);
  }
  EXPECT_FALSE(CurrentState.admitsAttempt(Cold));
  // Probes are no requests.
  EXPECT_TRUE(CurrentState.mayUse(Cold));
  EXPECT_EQ(listed().Targets.size(), 1U);
  EXPECT_EQ(listed().EarliestColdRoom, TimeSource.now() + 1s);
  // Another target had the address and has turned a request away.
  CurrentState.withdrawAttempt(Cold, TimeSource.now());
  EXPECT_TRUE(CurrentState.admitsAttempt(Cold));
  runAlone(20s);
  for (int Count = 0; Count < 20; ++Count) {
    EXPECT_TRUE(CurrentState.admitsAttempt(Cold)) << Count;
    CurrentState.beginAttempt(Cold);
    CurrentState.endAttempt(Cold);
  }
}

// Guards against a service that is refused although a target of it is warm, or
// that tells its callers to come back at once.
TEST_F(GatewayStateTest, ColdServiceTellsWhenItHasRoom) {
  CurrentState.applyConfiguration(coldConfiguration(), "", "test");
  CurrentState.applyTargetList({coldTarget("a")}, {1}, "store");
  runAlone(1s);
  EXPECT_TRUE(listed().Targets.empty());
  ASSERT_TRUE(listed().EarliestColdRoom);
  EXPECT_GT(*listed().EarliestColdRoom, TimeSource.now());
  EXPECT_LE(*listed().EarliestColdRoom, TimeSource.now() + AssignmentDelay);
}

// Guards against targets that crash after an evacuation because they count as
// warm, and against ones that stay limited although they say that they are not.
TEST_F(GatewayStateTest, TargetsAreColdAfterAnEvacuation) {
  CurrentState.applyConfiguration(coldConfiguration(), "", "test");
  CurrentState.applyTargetList({target("a"), target("b")}, {1}, "store");
  const auto IsCold = [&](const std::string &Id) {
    return TimeSource.now() <
           CurrentState.targets().Targets.at(TargetId(Id)).ColdUntil;
  };
  EXPECT_FALSE(IsCold("a"));
  CurrentState.applyEvacuationReport({{5}, {FailureDomain("west")}, true},
                                     "store");
  CurrentState.applyEvacuationReport({{6}, {}, true}, "store");
  EXPECT_TRUE(IsCold("a"));
  EXPECT_TRUE(IsCold("b"));
  CurrentState.recordCold(processOf(target("a")), 0s, SignalSource::Probe);
  EXPECT_FALSE(IsCold("a"));
  TimeSource.advance(19s);
  EXPECT_TRUE(IsCold("b"));
  TimeSource.advance(2s);
  EXPECT_FALSE(IsCold("b"));
}

// Guards against a cold target of which only the host that has probed it knows,
// and against notices that go to and fro.
TEST_F(GatewayStateTest, ObservedColdTargetsAreSharedOnce) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  const TargetProcess Process = processOf(target("a"));
  CurrentState.recordCold(Process, 10s, SignalSource::Host);
  EXPECT_TRUE(CurrentState.takeUnsharedCold().empty());
  CurrentState.recordCold(Process, 10s, SignalSource::Probe);
  EXPECT_TRUE(CurrentState.takeUnsharedCold().empty());
  CurrentState.recordCold(Process, 15s, SignalSource::Probe);
  EXPECT_EQ(CurrentState.takeUnsharedCold().size(), 1U);
  // Another process of the target.
  CurrentState.recordCold({Process.Id, 7}, 90s, SignalSource::Host);
  TimeSource.advance(16s);
  EXPECT_FALSE(listed().Targets.front().IsCold);
}

// Guards against cold targets that crash when many are cold at once, as after
// an evacuation, while many hosts send to the service.
TEST_F(GatewayStateTest, ThirdOfTheTargetsMayBeColdAtOnce) {
  constexpr std::size_t HostCount = 13;
  constexpr std::size_t TargetCount = 24;
  std::vector<TargetRegistration> Targets;
  for (std::size_t Index = 0; Index < TargetCount; ++Index) {
    const std::string Id = "i-" + std::to_string(Index);
    Targets.push_back(Index % 3 == 0 ? coldTarget(Id) : target(Id));
  }
  std::vector<std::unique_ptr<GatewayState>> Hosts;
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    Hosts.push_back(
        std::make_unique<GatewayState>(TimeSource, Generator, Events));
    Hosts.back()->applyConfiguration(coldConfiguration(), "", "test");
    Hosts.back()->applyTargetList(Targets, {1}, "store");
  }
  std::map<TargetId, std::vector<TimePoint>> SentAt;
  std::size_t Cold = 0;
  // 15 s, with 13 requests each 20 ms.
  for (int Step = 0; Step < 750; ++Step) {
    TimeSource.advance(20ms);
    for (std::size_t Host = 0; Host < HostCount; ++Host) {
      GatewayState &State = *Hosts[Host];
      State.updateHosts(domainHosts(Host, HostCount), HostCount);
      const auto Found =
          State.candidates(ServiceName("stock"), FailureDomain("west")).Targets;
      ASSERT_FALSE(Found.empty());
      const auto &Chosen = Found[randomIndex(Generator, Found.size())];
      const TargetProcess Process{Chosen.Id, Chosen.StartedAtMilliseconds};
      ASSERT_TRUE(State.admitsAttempt(Process));
      State.beginAttempt(Process);
      State.endAttempt(Process);
      if (Chosen.IsCold) {
        ++Cold;
        SentAt[Chosen.Id].push_back(TimeSource.now());
      }
    }
  }
  for (const auto &[Id, Times] : SentAt)
    for (std::size_t Index = 6; Index < Times.size(); ++Index)
      ASSERT_GE(Times[Index] - Times[Index - 6], 1s) << Id.Value;
  // The hosts wait 2 s, then 8 targets bear 6 requests per second for 13 s. The
  // hosts choose at random, so a target is not chosen at once when it has room.
  EXPECT_EQ(SentAt.size(), TargetCount / 3);
  EXPECT_GT(Cold, 8 * 6 * 13U / 2);
}

} // namespace
} // namespace comfreyrill
