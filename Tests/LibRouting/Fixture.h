#pragma once

#include <LibRouting/Routing.h>

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace comfreyrill {

/// Routing state of one service on one host, with a manual clock and a fixed
/// seed.
class RoutingTest : public ::testing::Test {
protected:
  static constexpr std::uint64_t Seed = 20261204;
  static constexpr int Draws = 1000;

  void configure(std::size_t Count, std::uint32_t Slots = 6) {
    Config.Targets.clear();
    for (std::size_t Index = 0; Index < Count; ++Index) {
      TargetConfig Target;
      Target.Id = TargetId("t" + std::to_string(Index));
      Target.Domain = FailureDomain(Index % 2 == 0 ? "a" : "b");
      Target.Slots = Slots;
      Config.Targets.push_back(Target);
    }
    updateTargets(State, Config, Time.now());
  }

  TargetChoice choose(std::vector<TargetIndex> Tried = {}) {
    return chooseTarget(State,
                        {FailureDomain("a"),
                         Time.now() + std::chrono::seconds(5),
                         std::move(Tried)},
                        Time.now(), Generator);
  }

  void report(TargetIndex Target, std::uint32_t InFlight,
              bool Draining = false) {
    recordLoadReport(State, Target, {InFlight, 6, 0, Draining}, Time.now());
  }

  void attempt(TargetIndex Target, AttemptEnd End,
               Duration Elapsed = std::chrono::milliseconds(20)) {
    recordAttemptStart(State, Target, Time.now());
    Time.advance(Elapsed);
    recordAttemptEnd(State, {Target, End, Elapsed}, Time.now());
  }

  /// Returns how many of Draws choices select the target.
  int countChoicesOf(TargetIndex Target) {
    int Count = 0;
    for (int Draw = 0; Draw < Draws; ++Draw) {
      const TargetChoice Chosen = choose();
      Count +=
          Chosen.Kind == TargetChoiceKind::Dispatch && Chosen.Target == Target;
    }
    return Count;
  }

  ::testing::ScopedTrace SeedOnFailure{__FILE__, __LINE__,
                                       "seed " + std::to_string(Seed)};
  ManualClock Time;
  Random Generator{Seed};
  ServiceConfig Config;
  RoutingState State;
};

} // namespace comfreyrill
