#include "Replay.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <string_view>

namespace {

using namespace comfreyrill;
using namespace comfreyrill::replay;

// Interval between load exchanges of the hosts, from EXCHANGE_MS; 0 turns the
// exchange off.
Duration exchangeInterval() {
  const char *Text = std::getenv("EXCHANGE_MS");
  return std::chrono::milliseconds(Text ? std::atoi(Text) : 0);
}

std::vector<PolicySpec> policies() {
  const Duration ExchangeInterval = exchangeInterval();
  return {
      {"chosen", Policy::Production, true, 1, ExchangeInterval},
      {"chosen, no hedging", Policy::Production, false, 1, ExchangeInterval},
      {"chosen, budget/10", Policy::Production, true, 0.1, ExchangeInterval},
      {"random", Policy::Random, false, 1, Duration(0)},
      {"round robin", Policy::RoundRobin, false, 1, Duration(0)},
      {"least in flight", Policy::LeastInFlight, false, 1, Duration(0)},
      {"two choices", Policy::TwoChoices, false, 1, Duration(0)},
      {"oracle", Policy::Oracle, false, 1, Duration(0)}};
}

void print(const Trace &Input, const PolicySpec &Spec,
           const ReplayResult &Result) {
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

// Largest p99 over all traces, relative to the oracle and to the best baseline
// policy of the same trace.
struct WorstRatios {
  double ToOracle = 0;
  double ToBaseline = 0;
};

void updateWorstRatios(WorstRatios &Worst, double P99, double Oracle,
                       double Baseline) {
  Worst.ToOracle = std::max(Worst.ToOracle, P99 / Oracle);
  Worst.ToBaseline = std::max(Worst.ToBaseline, P99 / Baseline);
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
  WorstRatios FullBudget;
  WorstRatios Unhedged;
  WorstRatios TenthBudget;
  std::uint64_t Overruns = 0;
  for (const std::string &Path : listTraces(Arguments[1])) {
    if (Count > 2 && Path.find(Arguments[2]) == std::string::npos)
      continue;
    const Trace Input = loadTrace(Path);
    std::vector<double> P99Times;
    for (const PolicySpec &Spec : policies()) {
      const ReplayResult Result = replayTrace(Input, Spec);
      print(Input, Spec, Result);
      P99Times.push_back(quantileMilliseconds(Result, 0.99));
      Overruns += Result.BudgetOverruns;
    }
    const double Oracle = P99Times.back();
    const double Baseline =
        *std::min_element(P99Times.begin() + 3, P99Times.end() - 1);
    updateWorstRatios(FullBudget, P99Times[0], Oracle, Baseline);
    updateWorstRatios(Unhedged, P99Times[1], Oracle, Baseline);
    updateWorstRatios(TenthBudget, P99Times[2], Oracle, Baseline);
    std::printf("%-28s p99/oracle %.3f, unhedged %.3f, budget/10 %.3f; "
                "p99/best baseline %.3f, unhedged %.3f\n",
                Input.Name.c_str(), P99Times[0] / Oracle, P99Times[1] / Oracle,
                P99Times[2] / Oracle, P99Times[0] / Baseline,
                P99Times[1] / Baseline);
  }
  std::printf("without hedging: worst p99/oracle = %.3f; worst p99/best "
              "baseline = %.3f\n",
              Unhedged.ToOracle, Unhedged.ToBaseline);
  std::printf("at a tenth of the probe budget: worst p99/oracle = %.3f; "
              "worst p99/best baseline = %.3f\n",
              TenthBudget.ToOracle, TenthBudget.ToBaseline);
  std::printf("bench routing: worst p99/oracle = %.3f; worst p99/best baseline "
              "= %.3f; budget overruns = %llu\n",
              FullBudget.ToOracle, FullBudget.ToBaseline,
              static_cast<unsigned long long>(Overruns));
  return 0;
}
