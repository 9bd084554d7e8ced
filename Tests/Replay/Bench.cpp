#include "Replay.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <string_view>

namespace {

using namespace comfreyrill;
using namespace comfreyrill::replay;

Duration exchangeInterval() {
  const char *Text = std::getenv("EXCHANGE_MS");
  return std::chrono::milliseconds(Text ? std::atoi(Text) : 0);
}

std::vector<PolicySpec> policies() {
  const Duration Exchange = exchangeInterval();
  return {{"chosen", Policy::Chosen, true, 1, Exchange},
          {"chosen, no hedging", Policy::Chosen, false, 1, Exchange},
          {"chosen, budget/10", Policy::Chosen, true, 0.1, Exchange},
          {"random", Policy::Random, false, 1, Duration(0)},
          {"round robin", Policy::RoundRobin, false, 1, Duration(0)},
          {"least in flight", Policy::LeastInFlight, false, 1, Duration(0)},
          {"two choices", Policy::TwoChoices, false, 1, Duration(0)},
          {"oracle", Policy::Oracle, false, 1, Duration(0)}};
}

void print(const Trace &Input, const PolicySpec &Spec, const Outcome &Result) {
  std::printf(
      "%-28s %-19s %8.1f %8.1f %8.1f %8llu %7llu %8.4f %8.0f %7llu\n",
      Input.Name.c_str(), Spec.Name.c_str(), quantileMilliseconds(Result, 0.5),
      quantileMilliseconds(Result, 0.99), quantileMilliseconds(Result, 0.999),
      static_cast<unsigned long long>(Result.Refused),
      static_cast<unsigned long long>(Result.Failed),
      static_cast<double>(Result.Probes) /
          static_cast<double>(std::max<std::uint64_t>(Result.Calls, 1)),
      Result.ControlBytesPerHostSecond,
      static_cast<unsigned long long>(Result.Hedges));
}

struct Worst {
  double ToOracle = 0;
  double ToBaseline = 0;
};

void include(Worst &Value, double Time, double Oracle, double Baseline) {
  Value.ToOracle = std::max(Value.ToOracle, Time / Oracle);
  Value.ToBaseline = std::max(Value.ToBaseline, Time / Baseline);
}

} // namespace

// Usage: bench_routing DIRECTORY [NAME-PART]
int main(int Count, char **Arguments) {
  if (Count < 2) {
    std::fprintf(stderr, "usage: bench_routing DIRECTORY [NAME-PART]\n");
    return 2;
  }
  std::printf("%-28s %-19s %8s %8s %8s %8s %7s %8s %8s %7s\n", "trace",
              "policy", "p50 ms", "p99 ms", "p99.9", "refused", "failed",
              "probes/c", "B/s/host", "hedges");
  Worst Full;
  Worst Unhedged;
  Worst Tenth;
  std::uint64_t Overruns = 0;
  for (const std::string &Path : listTraces(Arguments[1])) {
    if (Count > 2 && Path.find(Arguments[2]) == std::string::npos)
      continue;
    const Trace Input = loadTrace(Path);
    std::vector<double> Times;
    for (const PolicySpec &Spec : policies()) {
      const Outcome Result = replayTrace(Input, Spec);
      print(Input, Spec, Result);
      Times.push_back(quantileMilliseconds(Result, 0.99));
      Overruns += Result.BudgetOverruns;
    }
    const double Oracle = Times.back();
    const double Baseline =
        *std::min_element(Times.begin() + 3, Times.end() - 1);
    include(Full, Times[0], Oracle, Baseline);
    include(Unhedged, Times[1], Oracle, Baseline);
    include(Tenth, Times[2], Oracle, Baseline);
    std::printf("%-28s p99/oracle %.3f, unhedged %.3f, budget/10 %.3f; "
                "p99/best baseline %.3f, unhedged %.3f\n",
                Input.Name.c_str(), Times[0] / Oracle, Times[1] / Oracle,
                Times[2] / Oracle, Times[0] / Baseline, Times[1] / Baseline);
  }
  std::printf("without hedging: worst p99/oracle = %.3f; worst p99/best "
              "baseline = %.3f\n",
              Unhedged.ToOracle, Unhedged.ToBaseline);
  std::printf("at a tenth of the measuring budget: worst p99/oracle = %.3f; "
              "worst p99/best baseline = %.3f\n",
              Tenth.ToOracle, Tenth.ToBaseline);
  std::printf("bench routing: worst p99/oracle = %.3f; worst p99/best baseline "
              "= %.3f; budget overruns = %llu\n",
              Full.ToOracle, Full.ToBaseline,
              static_cast<unsigned long long>(Overruns));
  return 0;
}
