#include <LibCore/Random.h>
#include <LibGateway/Admission.h>
#include <LibGateway/TargetSelection.h>

#include <gtest/gtest.h>
#include <queue>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

// Plays the load of the heaviest days without a network: 20 targets of six
// slots that slow down above 80% of busy slots, a quarter of them four times
// slower for 300 ms at a time, and more requests than crowded targets finish.
struct Load {
  static constexpr std::size_t TargetCount = 20;
  static constexpr std::uint32_t Slots = 6;
  static constexpr double ArrivalsPerSecond = 480;
  static constexpr double WorkSeconds = 0.1;
  static constexpr double NoiseSeconds = 0.3;
  static constexpr double Seconds = 20;
};

struct Running {
  double Left;
  double ArrivedAt;
};

struct PlayedTarget {
  std::vector<Running> Requests;
  double Slowdown = 1;
  double NoiseUntil = 0;
};

/// Share of the requests that are answered within the objective of 250 ms when
/// at most Limit requests are sent to a target; those that find no room look
/// again or are refused as decideAdmission says.
double shareInTime(std::uint32_t Limit) {
  Random Generator(20261204);
  std::uniform_real_distribution<double> Unit(0, 1);
  std::vector<PlayedTarget> Targets(Load::TargetCount);
  std::vector<double> Waiting;
  double NextArrival = 0;
  std::size_t Arrived = 0;
  std::size_t InTime = 0;
  constexpr double Step = 0.001;
  for (double Now = 0; Now < Load::Seconds; Now += Step) {
    for (PlayedTarget &Target : Targets) {
      if (Now >= Target.NoiseUntil) {
        Target.Slowdown = Unit(Generator) < 0.25 ? 4 : 1;
        Target.NoiseUntil = Now + Load::NoiseSeconds * (0.5 + Unit(Generator));
      }
      const bool IsCrowded = Target.Requests.size() > 0.8 * Load::Slots;
      const double Speed = 1 / (Target.Slowdown * (IsCrowded ? 1.7 : 1));
      for (Running &Request : Target.Requests)
        Request.Left -= Step * Speed;
      std::erase_if(Target.Requests, [&](const Running &Request) {
        if (Request.Left > 0)
          return false;
        InTime += Now - Request.ArrivedAt <= 0.25 ? 1 : 0;
        return true;
      });
    }
    while (NextArrival <= Now) {
      Waiting.push_back(Now);
      ++Arrived;
      NextArrival += -std::log(1 - Unit(Generator)) / Load::ArrivalsPerSecond;
    }
    std::vector<double> Again;
    for (const double ArrivedAt : Waiting) {
      std::vector<ProbedCandidate> Probed;
      std::vector<std::size_t> Indices;
      for (int Probe = 0; Probe < 5; ++Probe) {
        const std::size_t Index = randomIndex(Generator, Targets.size());
        LoadReport Report;
        Report.InFlight =
            static_cast<std::uint32_t>(Targets[Index].Requests.size());
        Report.Slots = Load::Slots;
        Report.Slowdown = Targets[Index].Slowdown;
        Probed.push_back({{}, Report, true});
        Indices.push_back(Index);
      }
      const std::size_t Best = *selectTarget(Probed);
      AdmissionInput Input;
      Input.ExpectedTime =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              Load::WorkSeconds * expectedLatencyFactor(Probed[Best])));
      Input.HasFreeSlot = Probed[Best].Load.InFlight < Limit;
      Input.Waited = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Now - ArrivedAt));
      Input.LatencyObjective = 250ms;
      Input.TimeLeft = 1s;
      Input.Priority = 2;
      const AdmissionDecision Kind = decideAdmission(Input);
      if (Kind == AdmissionDecision::Dispatch)
        Targets[Indices[Best]].Requests.push_back(
            {Load::WorkSeconds * (0.7 + 0.6 * Unit(Generator)), ArrivedAt});
      else if (Kind == AdmissionDecision::RetrySelection)
        Again.push_back(ArrivedAt);
    }
    Waiting = std::move(Again);
  }
  return static_cast<double>(InTime) / static_cast<double>(Arrived);
}

// Guards against filling targets to the last slot: on the heaviest day of
// soitinlaina that took the share of answers in time from two thirds to a half.
TEST(CrowdedLoad, UsefulSlotsServeMoreCallersInTime) {
  const double Useful = shareInTime(usefulSlots(Load::Slots));
  const double Filled = shareInTime(Load::Slots);
  EXPECT_GT(Useful, Filled);
  EXPECT_GT(Useful, 0.8);
}

} // namespace
} // namespace comfreyrill
