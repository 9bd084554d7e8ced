#include <LibRouting/Routing.h>

#include <benchmark/benchmark.h>

namespace comfreyrill {
namespace {

constexpr std::uint64_t Seed = 20261204;

RoutingState makeState(std::size_t Count, TimePoint Now) {
  ServiceConfig Config;
  Config.Name = ServiceName("service");
  for (std::size_t Index = 0; Index < Count; ++Index) {
    TargetConfig Target;
    Target.Id = TargetId("target-" + std::to_string(Index));
    Target.Domain = FailureDomain("domain-" + std::to_string(Index % 7));
    Target.Slots = 6;
    Config.Targets.push_back(Target);
  }
  RoutingState State;
  updateTargets(State, Config, Now);
  return State;
}

// All routing work of one call: selection, start and end of the attempt, load
// report, and the choice of a probe target.
void decide(benchmark::State &Run) {
  TimePoint Now{std::chrono::hours(1)};
  RoutingState State = makeState(static_cast<std::size_t>(Run.range(0)), Now);
  Random Generator(Seed);
  TargetChoiceInput Input;
  Input.HostDomain = FailureDomain("domain-3");
  Input.Deadline = Now + std::chrono::hours(24);
  LoadReport Report{3, 6, 0, false};
  for (auto _ : Run) {
    Now += std::chrono::microseconds(100);
    recordCall(State, Now);
    const TargetChoice Chosen = chooseTarget(State, Input, Now, Generator);
    benchmark::DoNotOptimize(Chosen);
    recordAttemptStart(State, Chosen.Target, Now);
    Report.InFlight = static_cast<std::uint32_t>(Generator() % 7);
    recordAttemptEnd(State,
                     {Chosen.Target, AttemptEnd::Answered,
                      std::chrono::microseconds(20000 + Generator() % 1000)},
                     Now);
    recordLoadReport(State, Chosen.Target, Report, Now);
    benchmark::DoNotOptimize(chooseProbeTarget(State, Now));
  }
}

// Target selection alone, with a load report of each target.
void choose(benchmark::State &Run) {
  TimePoint Now{std::chrono::hours(1)};
  RoutingState State = makeState(static_cast<std::size_t>(Run.range(0)), Now);
  Random Generator(Seed);
  for (TargetIndex Index = 0; Index < State.Targets.size(); ++Index)
    recordLoadReport(State, Index, {Index % 6, 6, 0, false}, Now);
  TargetChoiceInput Input;
  Input.HostDomain = FailureDomain("domain-3");
  Input.Deadline = Now + std::chrono::hours(24);
  for (auto _ : Run)
    benchmark::DoNotOptimize(chooseTarget(State, Input, Now, Generator));
}

BENCHMARK(decide)->Arg(8)->Arg(20)->Arg(32)->Arg(870);
BENCHMARK(choose)->Arg(8)->Arg(20)->Arg(32)->Arg(870);

} // namespace
} // namespace comfreyrill
