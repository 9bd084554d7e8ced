#include <LibDomainChoice/NeighborChoice.h>
#include <LibDomainChoice/RequestChoice.h>
#include <LibGateway/Admission.h>
#include <LibGateway/ProbeTokenBucket.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t DomainCount = 3;
constexpr std::size_t HostCount = 6;
constexpr std::size_t TargetCount = 40;
constexpr std::uint32_t SlotCount = 2;
constexpr Duration Step = 4ms;
constexpr Duration Delay = 1400us;
constexpr double BytePrice = 4.3e-6;
constexpr double CongestionFactor = 1.7;
constexpr double SlowFactor = 4;
// Slow for about 300 ms, then at the usual speed for 700 ms on average. The
// slow times begin at random, so that the age of a report tells nothing.
constexpr Duration SlowTime = 300ms;
constexpr Duration UsualTime = 700ms;
// Requests per second that a domain completes with all slots busy.
constexpr double Capacity = TargetCount * SlotCount / CongestionFactor *
                            (0.7 + 0.3 / SlowFactor) / 0.09;

enum class Policy { FixedFactors, ShareOnly, ShareAndNeighbors };

struct SpeedHost {
  DomainChoiceState State;
  RecentCosts Recent;
  DomainChoiceInput Counts;
  std::array<bool, DomainCount> IsClosed{};
  ProbeTokenBucket Tokens;
};

struct RunningRequest {
  double RemainingSeconds = 0;
  std::size_t Origin = 0;
  TimePoint ObjectiveAt;
};

struct SpeedTarget {
  bool IsSlow = false;
  TimePoint SpeedEndsAt;
  std::vector<RunningRequest> Running;
  /// The latest report that the hosts of each domain know.
  std::array<std::optional<LoadReport>, DomainCount> Known;
  std::array<TimePoint, DomainCount> KnownAt;

  LoadReport report() const {
    LoadReport Made;
    Made.InFlight = static_cast<std::uint32_t>(Running.size());
    Made.Slots = SlotCount;
    Made.Slowdown = IsSlow ? SlowFactor : 1;
    return Made;
  }
};

struct SearchingOne {
  std::size_t Host = 0;
  bool IsUpload = false;
  bool IsFirstPass = true;
  TimePoint ArrivedAt;
  TimePoint NextAt;
  RequestChoice Choice;
};

struct SpeedDomain {
  double Demand = 0.5;
  std::array<SpeedTarget, TargetCount> Targets;
  std::array<SpeedHost, HostCount> Hosts;
  std::vector<SearchingOne> Searching;
  DomainLoad Seen;
  DomainLoad Summary;
  TimePoint SummaryAt;
  double Arrived = 0;
  double InTime = 0;
  double Left = 0;
  double Bytes = 0;
  double Probes = 0;
  double OtherProbes = 0;

  DomainLoad load() const {
    DomainLoad Sum;
    Sum.Slowdown = 0;
    for (const SpeedTarget &Target : Targets) {
      const auto Busy = static_cast<std::uint32_t>(Target.Running.size());
      Sum.BusySlots += Busy;
      Sum.SlowSlots += Target.IsSlow ? SlotCount - Busy : 0;
      Sum.Slowdown += (Target.IsSlow ? SlowFactor : 1) / TargetCount;
    }
    Sum.Targets = Sum.KnownTargets = TargetCount;
    Sum.UsefulSlots = TargetCount * SlotCount;
    Sum.IsPressed = Hosts[0].State.IsPressed;
    return Sum;
  }
  double inTime() const { return InTime / Arrived; }
};

/// Three failure domains of targets whose speed changes, with hosts that probe
/// them as RequestExecution does. Requests that are rejected do not return.
class SpeedLoop {
public:
  SpeedLoop(Policy Decision, std::array<double, DomainCount> Demands,
            std::uint64_t Seed = 20261206)
      : Decision(Decision), Generator(Seed) {
    for (std::size_t Index = 0; Index < DomainCount; ++Index)
      Domains[Index].Demand = Demands[Index];
    run(3s);
    for (SpeedDomain &Domain : Domains)
      Domain.Arrived = Domain.InTime = Domain.Left = Domain.Bytes =
          Domain.Probes = Domain.OtherProbes = 0;
  }

  void run(Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += Step) {
      TimeSource.advance(Step);
      const auto Ticks = TimeSource.now().time_since_epoch() / Step;
      for (std::size_t Index = 0; Index < DomainCount; ++Index) {
        for (SpeedTarget &Target : Domains[Index].Targets)
          work(Target);
        arrive(Index);
        search(Index);
        if (Ticks % 25 == 0)
          Domains[Index].Seen = Domains[Index].load();
        // Arrives 200 ms after it was summed up.
        if (Ticks % 100 == 0)
          Domains[Index].Summary = Domains[Index].load();
        for (std::size_t Host = 0; Host < HostCount; ++Host)
          if ((Ticks + static_cast<std::int64_t>(Host * 10 + Index * 3)) % 62 ==
              0)
            update(Index, Host);
      }
      if (Ticks % 100 == 0)
        for (SpeedDomain &Domain : Domains)
          Domain.SummaryAt = TimeSource.now();
    }
  }

  std::array<SpeedDomain, DomainCount> Domains;

private:
  static FailureDomain nameOf(std::size_t Index) {
    return FailureDomain(std::string(1, static_cast<char>('a' + Index)));
  }
  static std::size_t indexOf(const std::string &Name) {
    return static_cast<std::size_t>(Name[0] - 'a');
  }
  static Duration objective(bool IsUpload) { return IsUpload ? 1500ms : 250ms; }
  static double bytes(bool IsUpload) { return IsUpload ? 65'000 : 5'300; }

  double uniform(double From, double To) {
    return std::uniform_real_distribution<double>(From, To)(Generator);
  }

  void work(SpeedTarget &Target) {
    const TimePoint Now = TimeSource.now();
    if (Now >= Target.SpeedEndsAt) {
      Target.IsSlow = !Target.IsSlow;
      Target.SpeedEndsAt =
          Now +
          std::chrono::duration_cast<Duration>(
              Target.IsSlow
                  ? SlowTime * uniform(0.5, 1.5)
                  : UsualTime * std::exponential_distribution<>(1)(Generator));
    }
    const double Done = std::chrono::duration<double>(Step).count() /
                        (Target.IsSlow ? SlowFactor : 1) /
                        (Target.Running.size() > 1 ? CongestionFactor : 1);
    std::erase_if(Target.Running, [&](RunningRequest &Request) {
      Request.RemainingSeconds -= Done;
      if (Request.RemainingSeconds > 0)
        return false;
      Domains[Request.Origin].InTime += Now <= Request.ObjectiveAt ? 1 : 0;
      return true;
    });
  }

  void arrive(std::size_t Index) {
    SpeedDomain &Domain = Domains[Index];
    std::poisson_distribution<int> Arrivals(
        Domain.Demand * Capacity * std::chrono::duration<double>(Step).count());
    for (int Count = Arrivals(Generator); Count > 0; --Count) {
      SearchingOne Made;
      Made.Host = randomIndex(Generator, HostCount);
      Made.IsUpload = uniform(0, 1) < 0.08;
      Made.ArrivedAt = Made.NextAt = TimeSource.now();
      SpeedHost &Host = Domain.Hosts[Made.Host];
      if (Decision != Policy::FixedFactors)
        Made.Choice = chooseForRequest(
            Host.State, Host.Recent,
            {bytes(Made.IsUpload), 0ms, objective(Made.IsUpload)}, BytePrice,
            Generator);
      ++Domain.Arrived;
      ++Host.Counts.Received;
      Domain.Searching.push_back(Made);
    }
  }

  void search(std::size_t Index) {
    SpeedDomain &Domain = Domains[Index];
    std::erase_if(Domain.Searching, [&](SearchingOne &Request) {
      if (Request.NextAt > TimeSource.now())
        return false;
      const AdmissionDecision Admitted = round(Index, Request);
      Request.NextAt = TimeSource.now() + SelectionRetryInterval;
      if (Admitted == AdmissionDecision::Refuse && !Request.Choice.Destination)
        ++Domain.Hosts[Request.Host].Counts.Refused;
      return Admitted != AdmissionDecision::RetrySelection;
    });
  }

  std::vector<TargetCandidate>
  candidates(std::size_t Index, const SpeedHost &Host,
             const RequestChoice &Choice,
             const std::vector<ProbedCandidate> &Probed) const {
    std::vector<TargetCandidate> Listed;
    for (std::size_t Other = 0; Other < DomainCount; ++Other) {
      const bool MayUse = Other == Index || Decision == Policy::FixedFactors ||
                          Choice.Destination == nameOf(Other) ||
                          (Choice.MayUseNeighbors && !Host.IsClosed[Other]);
      for (std::size_t Number = 0; MayUse && Number < TargetCount; ++Number) {
        TargetCandidate Made;
        Made.Id = TargetId(nameOf(Other).Value + std::to_string(Number));
        Made.IsInLocalDomain = Other == Index;
        const SpeedTarget &Target = Domains[Other].Targets[Number];
        Made.LastLoad = Target.Known[Index];
        Made.LoadAge = TimeSource.now() - Target.KnownAt[Index];
        if (std::none_of(Probed.begin(), Probed.end(), [&](const auto &Found) {
              return Found.Target.Id == Made.Id;
            }))
          Listed.push_back(std::move(Made));
      }
    }
    return Listed;
  }

  SpeedTarget &targetOf(const TargetId &Id) {
    return Domains[indexOf(Id.Value)].Targets[std::stoul(Id.Value.substr(1))];
  }

  std::optional<std::size_t>
  select(const SpeedHost &Host, SearchingOne &Request,
         const std::vector<ProbedCandidate> &Probed) {
    if (Decision != Policy::ShareAndNeighbors || Request.Choice.Destination)
      return selectTarget(Probed, Request.Choice.Factors);
    const auto Best = selectStaying(Probed, Request.Choice.Factors);
    if (Best && isGoodEnough(Probed[*Best]))
      return Best;
    Request.Choice.UsableLocalTargets = TargetCount;
    widenSearch(Request.Choice, Probed,
                {bytes(Request.IsUpload), TimeSource.now() - Request.ArrivedAt,
                 objective(Request.IsUpload), 90ms},
                Host.State.OwnUtilization, Delay, BytePrice);
    return Best;
  }

  AdmissionDecision round(std::size_t Index, SearchingOne &Request) {
    SpeedDomain &Domain = Domains[Index];
    SpeedHost &Host = Domain.Hosts[Request.Host];
    const TimePoint Now = TimeSource.now();
    std::vector<ProbedCandidate> Probed;
    std::optional<std::size_t> Best;
    for (ProbeDemand Demand : {ProbeDemand{1, 3, 5}, ProbeDemand{0, 5, 6}}) {
      Demand.Minimum *= Request.IsFirstPass ? 1 : 0;
      const std::size_t Allowed = acquireProbeTokens(
          Host.Tokens,
          {ProbesPerTarget, DomainCount * TargetCount, DomainCount * HostCount},
          Demand, Now);
      auto Listed = candidates(Index, Host, Request.Choice, Probed);
      for (TargetCandidate &Chosen : selectProbeCandidates(
               std::move(Listed), Allowed, Generator, Request.Choice.Factors)) {
        SpeedTarget &Target = targetOf(Chosen.Id);
        Target.Known[Index] = Target.report();
        Target.KnownAt[Index] = Now;
        ++Domain.Probes;
        Domain.OtherProbes += Chosen.IsInLocalDomain ? 0 : 1;
        Probed.push_back({std::move(Chosen), Target.report(), true});
      }
      Best = select(Host, Request, Probed);
      if (Best && isGoodEnough(Probed[*Best]))
        break;
    }
    Request.IsFirstPass = false;
    AdmissionInput Input;
    Input.ExpectedTime = 90ms;
    if (Best) {
      Input.ExpectedTime = std::chrono::duration_cast<Duration>(
          90ms * expectedLatencyFactor(Probed[*Best]));
      Input.HasFreeSlot = hasFreeSlot(Probed[*Best].Load);
    }
    Input.Waited = Now - Request.ArrivedAt;
    Input.LatencyObjective = objective(Request.IsUpload);
    Input.TimeLeft = 10s;
    Input.Priority = 1;
    const AdmissionDecision Admitted = decideAdmission(Input);
    if (Admitted == AdmissionDecision::Dispatch)
      begin(Index, Request, Probed[*Best].Target);
    return Admitted;
  }

  void begin(std::size_t Index, const SearchingOne &Request,
             const TargetCandidate &Chosen) {
    SpeedDomain &Domain = Domains[Index];
    Duration Both{0};
    if (!Chosen.IsInLocalDomain) {
      Both = 4 * Delay;
      ++Domain.Left;
      Domain.Bytes += bytes(Request.IsUpload);
    }
    targetOf(Chosen.Id).Running.push_back(
        {0.09 * uniform(0.5, 1.5), Index,
         Request.ArrivedAt + objective(Request.IsUpload) - Both});
  }

  void update(std::size_t Index, std::size_t HostIndex) {
    SpeedHost &Host = Domains[Index].Hosts[HostIndex];
    DomainChoiceInput Input = std::exchange(Host.Counts, {});
    Input.WorkTime = 90ms;
    Input.Waiting = static_cast<double>(Domains[Index].Searching.size()) /
                    static_cast<double>(HostCount);
    Input.InFlight =
        Domains[Index].load().BusySlots / static_cast<double>(HostCount);
    Input.Own = {nameOf(Index), Domains[Index].Seen, 50ms};
    for (std::size_t Other = 0; Other < DomainCount; ++Other)
      if (Other != Index) {
        DomainCondition Condition{
            nameOf(Other), Domains[Other].Summary,
            TimeSource.now() - Domains[Other].SummaryAt + 200ms, Delay};
        if (!needsOtherDomains(Domains[Index].Seen))
          Condition.Load.KnownTargets = 0;
        Host.IsClosed[Other] = Condition.Load.IsPressed;
        Input.Others.push_back(Condition);
      }
    updateDomainChoice(Host.State, Input, TimeSource.now());
  }

  static constexpr double ProbesPerTarget = 60;

  Policy Decision;
  ManualClock TimeSource;
  Random Generator;
};

struct Figures {
  std::array<double, DomainCount> InTime{};
  double Megabytes = 0;
  /// Of domain 0.
  double Left = 0;
  double OtherProbes = 0;
  /// Highest share of the probes of 5 s that went to other domains.
  double OtherProbesMaximum = 0;
};

/// Mean over two seeds of 15 s each.
Figures figures(Policy Decision, double Demand, double DemandOfOthers) {
  constexpr std::array<std::uint64_t, 2> Seeds{1, 2};
  Figures Sum;
  double Busy = 0;
  for (const std::uint64_t Seed : Seeds) {
    SpeedLoop Loop(Decision, {Demand, DemandOfOthers, DemandOfOthers}, Seed);
    std::array<double, DomainCount> Probes{};
    std::array<double, DomainCount> Others{};
    for (int Part = 0; Part < 3; ++Part) {
      Loop.run(5s);
      for (std::size_t Index = 0; Index < DomainCount; ++Index) {
        const SpeedDomain &Domain = Loop.Domains[Index];
        Sum.OtherProbesMaximum = std::max(
            Sum.OtherProbesMaximum,
            (Domain.OtherProbes -
             std::exchange(Others[Index], Domain.OtherProbes)) /
                (Domain.Probes - std::exchange(Probes[Index], Domain.Probes)));
      }
      Busy +=
          Loop.Domains[0].load().BusySlots / (3.0 * TargetCount * SlotCount);
    }
    for (std::size_t Index = 0; Index < DomainCount; ++Index) {
      Sum.InTime[Index] += Loop.Domains[Index].inTime() / Seeds.size();
      Sum.Megabytes += Loop.Domains[Index].Bytes / 1e6 / Seeds.size();
    }
    const SpeedDomain &First = Loop.Domains[0];
    Sum.Left += First.Left / First.Arrived / Seeds.size();
    Sum.OtherProbes += First.OtherProbes / First.Probes / Seeds.size();
  }
  std::printf("demand %.1f others %.1f decision %d in time %.3f %.3f %.3f left "
              "%.3f other probes %.3f (5 s: %.3f) %.1f MB busy %.2f\n",
              Demand, DemandOfOthers, static_cast<int>(Decision), Sum.InTime[0],
              Sum.InTime[1], Sum.InTime[2], Sum.Left, Sum.OtherProbes,
              Sum.OtherProbesMaximum, Sum.Megabytes, Busy / Seeds.size());
  return Sum;
}

// The mean of two overloaded runs differs by up to this by chance.
constexpr double Tolerance = 0.02;

// Guards against a busy domain whose free slots are slow and whose callers are
// served worse than with fixed factors while its neighbors have free ones, and
// against neighbors that pay for it.
TEST(SpeedLoop, BusyDomainIsServedAsWellAsWithFixedFactors) {
  for (const double Demand : {0.3, 0.7, 1.0, 1.3}) {
    const Figures Fixed = figures(Policy::FixedFactors, Demand, 0.4);
    figures(Policy::ShareOnly, Demand, 0.4);
    const Figures Chosen = figures(Policy::ShareAndNeighbors, Demand, 0.4);
    for (std::size_t Index = 0; Index < DomainCount; ++Index)
      EXPECT_GT(Chosen.InTime[Index], Fixed.InTime[Index] - Tolerance)
          << Demand << " " << Index;
    EXPECT_LT(Chosen.Megabytes, 0.6 * Fixed.Megabytes) << Demand;
  }
}

// Guards against domains that exchange requests while all are short of slots.
TEST(SpeedLoop, FewProbesLeaveWhileAllDomainsAreShort) {
  for (const double Demand : {1.0, 1.3})
    EXPECT_LT(
        figures(Policy::ShareAndNeighbors, Demand, Demand).OtherProbesMaximum,
        0.1);
}

// Guards against requests that leave on a calm day, with 30% of the slots busy.
TEST(SpeedLoop, FewRequestsLeaveOnACalmDay) {
  for (const double Demand : {0.3, 0.5})
    EXPECT_LT(figures(Policy::ShareAndNeighbors, Demand, Demand).Left, 0.02);
}

} // namespace
} // namespace comfreyrill
