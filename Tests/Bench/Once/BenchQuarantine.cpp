#include <LibQuarantine/Fingerprint.h>
#include <LibQuarantine/Quarantine.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace comfreyrill {
namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

TargetId target(std::size_t Index) {
  return TargetId("stock-target-" + std::to_string(Index));
}

void fill(QuarantineState &State) {
  for (std::size_t Index = 0; Index < State.Limits.RequestsMaximum; ++Index) {
    recordCrash(State, Index, target(Index % 870), Start);
    recordCrash(State, Index, target((Index + 1) % 870), Start);
  }
}

void benchFingerprint(benchmark::State &State) {
  std::string Body(static_cast<std::size_t>(State.range(0)), 'x');
  ServiceName Service("stock");
  for (auto Round : State)
    benchmark::DoNotOptimize(requestFingerprint(
        Service, "POST", "/checkout?item=4711&branch=3", Body));
}
BENCHMARK(benchFingerprint)->Arg(0)->Arg(1024)->Arg(65'536);

void benchMayRun(benchmark::State &State) {
  QuarantineState Quarantine;
  if (State.range(0) != 0)
    fill(Quarantine);
  std::uint64_t Fingerprint = 0;
  for (auto Round : State)
    benchmark::DoNotOptimize(
        mayDispatch(Quarantine, Fingerprint += 0x9E3779B97F4A7C15U, Start));
}
BENCHMARK(benchMayRun)->Arg(0)->Arg(1);

void benchRecordAnswer(benchmark::State &State) {
  QuarantineState Quarantine;
  fill(Quarantine);
  std::uint64_t Fingerprint = 0;
  for (auto Round : State)
    benchmark::DoNotOptimize(
        recordAnswer(Quarantine, Fingerprint += 0x9E3779B97F4A7C15U));
}
BENCHMARK(benchRecordAnswer);

void benchRecordCrash(benchmark::State &State) {
  QuarantineState Quarantine;
  fill(Quarantine);
  std::uint64_t Fingerprint = 1U << 20;
  TargetId Target = target(1);
  TimePoint Now = Start;
  for (auto Round : State) {
    Now += std::chrono::milliseconds(1);
    benchmark::DoNotOptimize(
        recordCrash(Quarantine, ++Fingerprint, Target, Now));
  }
}
BENCHMARK(benchRecordCrash);

void benchQuarantineMemory(benchmark::State &State) {
  for (auto Round : State) {
    std::size_t Before = mallinfo2().uordblks;
    QuarantineState Quarantine;
    fill(Quarantine);
    std::size_t Bytes = mallinfo2().uordblks - Before;
    State.counters["bytes_per_request"] =
        static_cast<double>(Bytes) /
        static_cast<double>(Quarantine.Limits.RequestsMaximum);
    State.counters["megabytes"] = static_cast<double>(Bytes) / 1e6;
  }
}
BENCHMARK(benchQuarantineMemory)->Iterations(1);

} // namespace
} // namespace comfreyrill
