#include <LibDomainChoice/RequestChoice.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <queue>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t DomainCount = 3;
constexpr std::size_t HostCount = 6;
constexpr std::uint32_t TargetCount = 40;
constexpr std::uint32_t SlotCount = 80;
constexpr Duration WorkTime = 100ms;
constexpr Duration Step = 5ms;
constexpr Duration SummaryInterval = 400ms;
constexpr Duration SummaryDelay = 200ms;
constexpr double BytePrice = 2e-6;
constexpr double LookupBytes = 2'000;
constexpr double UploadBytes = 60'000;
constexpr double UploadShare = 0.08;

struct LoopHost {
  DomainChoiceState State;
  RecentCosts Recent;
  DomainChoiceInput Counts;
};

struct LoopDomain {
  /// Requests that arrive in one work time, per useful slot.
  double Demand = 0.5;
  std::uint32_t Targets = TargetCount;
  std::uint32_t Busy = 0;
  bool IsEvacuated = false;
  bool IsSilent = false;
  std::vector<LoopHost> Hosts{HostCount};
  DomainLoad Seen;
  DomainLoad Summary;
  TimePoint SummaryAt;
  DomainLoad NextSummary;
  TimePoint NextSummaryAt;
  /// Counts since the last call of resetCounts().
  double Arrived = 0;
  double Refused = 0;
  double Left = 0;
  double LeftInVain = 0;
  double UploadsArrived = 0;
  double UploadsLeft = 0;

  std::uint32_t slots() const { return SlotCount * Targets / TargetCount; }
  DomainLoad load() const {
    return {Targets, Targets,
            slots(), std::min(Busy, slots()),
            1,       Hosts[0].State.IsPressed};
  }
  double share() const {
    double Sum = 0;
    for (const LoopHost &Host : Hosts)
      Sum += leavingShare(Host.State);
    return Sum / static_cast<double>(Hosts.size());
  }
};

/// Three failure domains with six hosts each. A request occupies one slot for
/// the work time, or is rejected when there is none. Hosts see the loads of
/// their own domain after up to 100 ms and those of the others after up to
/// 600 ms.
class Loop {
public:
  Loop() {
    for (LoopDomain &Domain : Domains)
      Domain.Seen = Domain.Summary = Domain.NextSummary = Domain.load();
  }

  void run(Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += Step) {
      TimeSource.advance(Step);
      const TimePoint Now = TimeSource.now();
      while (!Ends.empty() && Ends.top().first <= Now) {
        --Domains[Ends.top().second].Busy;
        Ends.pop();
      }
      for (std::size_t Index = 0; Index < DomainCount; ++Index)
        arrive(Index);
      const auto Ticks = Now.time_since_epoch() / Step;
      if (Ticks % 20 == 0)
        for (LoopDomain &Domain : Domains)
          Domain.Seen = Domain.load();
      shareSummaries(Now);
      // Each host updates at its own time.
      for (std::size_t Index = 0; Index < DomainCount; ++Index)
        for (std::size_t Host = 0; Host < HostCount; ++Host)
          if ((Ticks + static_cast<std::int64_t>(Host * 8 + Index * 3)) %
                  (DomainChoiceInterval / Step) ==
              0)
            update(Index, Host, Now);
      if (Ticks % (DomainChoiceInterval / Step) == 0)
        Shares.push_back(Domains[0].share());
    }
  }

  void resetCounts() {
    Shares.clear();
    for (LoopDomain &Domain : Domains)
      Domain.Arrived = Domain.Refused = Domain.Left = Domain.LeftInVain =
          Domain.UploadsArrived = Domain.UploadsLeft = 0;
  }

  /// Highest minus lowest share of domain 0 since resetCounts().
  double swing() const {
    const auto [Lowest, Highest] =
        std::minmax_element(Shares.begin(), Shares.end());
    return *Highest - *Lowest;
  }
  double meanShare() const {
    double Sum = 0;
    for (const double Share : Shares)
      Sum += Share;
    return Sum / static_cast<double>(Shares.size());
  }

  std::vector<LoopDomain> Domains{DomainCount};
  std::vector<double> Shares;

private:
  static FailureDomain nameOf(std::size_t Index) {
    return FailureDomain(std::string(1, static_cast<char>('a' + Index)));
  }

  bool take(std::size_t Index) {
    LoopDomain &Domain = Domains[Index];
    if (Domain.IsEvacuated || Domain.Busy >= Domain.slots())
      return false;
    ++Domain.Busy;
    std::uniform_real_distribution<double> Factor(0.5, 1.5);
    Ends.push({TimeSource.now() + std::chrono::duration_cast<Duration>(
                                      WorkTime * Factor(Generator)),
               Index});
    return true;
  }

  void arrive(std::size_t Index) {
    LoopDomain &Domain = Domains[Index];
    const double Mean = Domain.Demand * SlotCount *
                        (std::chrono::duration<double>(Step) /
                         std::chrono::duration<double>(WorkTime)) /
                        HostCount;
    std::poisson_distribution<int> Arrivals(Mean);
    std::bernoulli_distribution IsUpload(UploadShare);
    for (LoopHost &Host : Domain.Hosts)
      for (int Count = Arrivals(Generator); Count > 0; --Count)
        handle(Index, Host, IsUpload(Generator));
  }

  void handle(std::size_t Index, LoopHost &Host, bool IsUpload) {
    LoopDomain &Domain = Domains[Index];
    ++Domain.Arrived;
    ++Host.Counts.Received;
    Domain.UploadsArrived += IsUpload ? 1 : 0;
    LeavingRequest Request;
    Request.Bytes = IsUpload ? UploadBytes : LookupBytes;
    Request.LatencyObjective = IsUpload ? 1500ms : 250ms;
    const RequestChoice Choice = chooseForRequest(
        Host.State, Host.Recent, Request, BytePrice, Generator);
    if (Choice.Destination) {
      ++Domain.Left;
      Domain.UploadsLeft += IsUpload ? 1 : 0;
      if (take(static_cast<std::size_t>(Choice.Destination->Value[0] - 'a')))
        return;
      ++Domain.LeftInVain;
    }
    if (take(Index))
      return;
    ++Domain.Refused;
    if (!Choice.Destination)
      ++Host.Counts.Refused;
  }

  void shareSummaries(TimePoint Now) {
    for (std::size_t Index = 0; Index < DomainCount; ++Index) {
      LoopDomain &Domain = Domains[Index];
      const auto Phase = static_cast<std::int64_t>(Index) * 17;
      if ((Now.time_since_epoch() / Step + Phase) % (SummaryInterval / Step) ==
              0 &&
          !Domain.IsSilent) {
        Domain.NextSummary = Domain.load();
        Domain.NextSummaryAt = Now;
      }
      if (Now - Domain.NextSummaryAt >= SummaryDelay) {
        Domain.Summary = Domain.NextSummary;
        Domain.SummaryAt = Domain.NextSummaryAt;
      }
    }
  }

  void update(std::size_t Index, std::size_t HostIndex, TimePoint Now) {
    LoopHost &Host = Domains[Index].Hosts[HostIndex];
    DomainChoiceInput Input = Host.Counts;
    Input.WorkTime = WorkTime;
    Input.InFlight = Domains[Index].Busy / static_cast<double>(HostCount);
    Input.Own = {nameOf(Index), Domains[Index].Seen,        50ms,
                 0ms,           Domains[Index].IsEvacuated, false};
    for (std::size_t Other = 0; Other < DomainCount; ++Other)
      if (Other != Index)
        Input.Others.push_back({nameOf(Other), Domains[Other].Summary,
                                Now - Domains[Other].SummaryAt, 1400us,
                                Domains[Other].IsEvacuated,
                                Domains[Other].IsSilent});
    updateDomainChoice(Host.State, Input, Now);
    Host.Counts = {};
  }

  using End = std::pair<TimePoint, std::size_t>;
  ManualClock TimeSource;
  Random Generator{20261204};
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
};

/// Runs a loop in which domain 0 has a demand as given, after 10 s without a
/// need to send, and returns it after 2 s for settling and 58 s of counting.
Loop runWithDemand(double Demand) {
  Loop Run;
  Run.run(10s);
  Run.Domains[0].Demand = Demand;
  Run.run(2s);
  Run.resetCounts();
  Run.run(58s);
  return Run;
}

// Guards against a domain that rejects requests while its neighbors have spare
// slots, and against a share that oscillates because hosts act on old loads.
TEST(ClosedLoop, DemandOfOneFifthAboveTheCapacityIsServed) {
  const Loop Run = runWithDemand(1.2);
  EXPECT_LE(Run.swing(), 0.1);
  EXPECT_NEAR(Run.meanShare(), 1 - 0.85 / 1.2, 0.06);
  EXPECT_LT(Run.Domains[0].Refused, 0.02 * Run.Domains[0].Arrived);
  EXPECT_LT(Run.Domains[1].Refused, 0.01 * Run.Domains[1].Arrived);
}

// Guards against neighbors that are filled to the point where they reject the
// requests of their own domain, and against a ramp that is too slow.
TEST(ClosedLoop, DemandOfTwiceTheCapacityFillsTheNeighbors) {
  const Loop Run = runWithDemand(2);
  // The neighbors have 2 * (0.8 - 0.5) of the capacity to spare.
  EXPECT_LE(Run.swing(), 0.1);
  EXPECT_NEAR(Run.meanShare(), 0.6 / 2, 0.06);
  EXPECT_LT(Run.Domains[1].Refused, 0.02 * Run.Domains[1].Arrived);
  EXPECT_LT(Run.Domains[1].Left, 0.01 * Run.Domains[1].Arrived);
  EXPECT_LT(Run.Domains[0].LeftInVain, 0.05 * Run.Domains[0].Left);
}

// Guards against a share that follows the excess instead of the spare slots of
// the neighbors: four of five requests would leave, most of them in vain.
TEST(ClosedLoop, DemandOfFiveTimesTheCapacityIsLimitedByTheNeighbors) {
  const Loop Run = runWithDemand(5);
  EXPECT_LE(Run.swing(), 0.1);
  EXPECT_NEAR(Run.meanShare(), 0.6 / 5, 0.05);
  EXPECT_LT(Run.Domains[1].Refused, 0.02 * Run.Domains[1].Arrived);
  EXPECT_LT(Run.Domains[0].LeftInVain, 0.05 * Run.Domains[0].Left);
}

// Guards against uploads that cross domains although lookups, which cost less,
// could leave in their place.
TEST(ClosedLoop, UploadsStayWhileLookupsGo) {
  const Loop Run = runWithDemand(2);
  EXPECT_GT(Run.Domains[0].Left, 0.25 * Run.Domains[0].Arrived);
  EXPECT_LT(Run.Domains[0].UploadsLeft, 0.01 * Run.Domains[0].UploadsArrived);
}

// Guards against hosts that keep sending to a neighbor whose own demand rises.
TEST(ClosedLoop, FilledNeighborIsRelieved) {
  Loop Run = runWithDemand(1.3);
  EXPECT_GT(Run.meanShare(), 0.2);
  Run.Domains[1].Demand = 1;
  Run.Domains[2].Demand = 1;
  Run.run(2s);
  Run.resetCounts();
  Run.run(20s);
  EXPECT_LT(Run.meanShare(), 0.05);
}

// Guards against requests that are sent out although all domains are full, each
// of which costs bytes and takes the slot of a request of the other domain.
TEST(ClosedLoop, NobodyLeavesWhenAllDomainsAreFull) {
  Loop Run;
  for (LoopDomain &Domain : Run.Domains)
    Domain.Demand = 1.5;
  Run.run(2s);
  Run.resetCounts();
  Run.run(58s);
  for (const LoopDomain &Domain : Run.Domains)
    EXPECT_LT(Domain.Left, 0.01 * Domain.Arrived);
}

// Guards against two overloaded domains that fill the third in turns.
TEST(ClosedLoop, TwoOverloadedDomainsShareTheThird) {
  Loop Run;
  Run.run(5s);
  Run.Domains[0].Demand = 1.2;
  Run.Domains[1].Demand = 1.2;
  Run.run(2s);
  Run.resetCounts();
  Run.run(58s);
  EXPECT_LE(Run.swing(), 0.1);
  EXPECT_GT(Run.meanShare(), 0.1);
  EXPECT_LT(Run.Domains[2].Refused, 0.02 * Run.Domains[2].Arrived);
}

// Guards against a domain that sends while its own targets can take the
// requests.
TEST(ClosedLoop, NobodyLeavesWithoutPressure) {
  const Loop Run = runWithDemand(0.8);
  EXPECT_LT(Run.Domains[0].Left, 0.002 * Run.Domains[0].Arrived);
}

// Guards against a domain that keeps rejecting requests after the loss of its
// targets, and that keeps sending after their return.
TEST(ClosedLoop, LostDomainIsServedAtOnceAndReturns) {
  Loop Run;
  Run.run(10s);
  Run.Domains[0].Targets = 0;
  Run.run(500ms);
  Run.resetCounts();
  Run.run(20s);
  EXPECT_LT(Run.Domains[0].Refused, 0.02 * Run.Domains[0].Arrived);
  EXPECT_LT(Run.Domains[1].Refused, 0.02 * Run.Domains[1].Arrived);
  EXPECT_LE(Run.swing(), 0.1);
  Run.Domains[0].Targets = TargetCount;
  Run.run(3s);
  Run.resetCounts();
  Run.run(5s);
  EXPECT_LT(Run.Domains[0].Left, 0.01 * Run.Domains[0].Arrived);
}

// Guards against requests that are sent to an evacuated domain, and against an
// evacuated domain that waits with sending until its targets are gone.
TEST(ClosedLoop, EvacuatedDomainSendsAndReceivesNothing) {
  Loop Run;
  Run.Domains[0].Demand = 1.1;
  Run.run(10s);
  Run.Domains[1].IsEvacuated = true;
  Run.Domains[1].Demand = 0.1;
  Run.run(300ms);
  Run.resetCounts();
  Run.run(20s);
  // A request that is sent to the evacuated domain would be in vain.
  EXPECT_LT(Run.Domains[0].LeftInVain, 0.02 * Run.Domains[0].Left);
  EXPECT_GT(Run.Domains[1].Left, 0.99 * Run.Domains[1].Arrived);
  // The third domain is nearly full until domain 0 makes room.
  EXPECT_LT(Run.Domains[1].Refused, 0.04 * Run.Domains[1].Arrived);
}

} // namespace
} // namespace comfreyrill
