#include <LibOnce/Issuer.h>
#include <LibOnce/Relay.h>
#include <LibOnce/Witness.h>
#include <LibOnce/WitnessChoice.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace comfreyrill {
namespace {

constexpr std::uint64_t Fingerprint = 5;

struct HostPair {
  IssuerState Issuer;
  WitnessState Witness;
  TimePoint Now{std::chrono::hours(1)};

  HostPair() {
    Issuer.Self = {HostId("entry-host-01"), HostIncarnation{1}};
    Issuer.Secret = "0123456789abcdef0123456789abcdef";
    Witness.Self = {HostId("entry-host-02"), HostIncarnation{2}};
    registerIssuer(Witness, Issuer.Self.Incarnation, Issuer.Secret);
  }

  IdempotencyKey newKey() {
    Now += std::chrono::microseconds(10);
    return issueKey(Issuer, Witness.Self, Now);
  }

  // Runs all steps of a call under a key; no messages are sent.
  void runCall(const IdempotencyKey &Key, const std::string &Answer) {
    beginCall(Issuer, Key, Fingerprint, Now);
    GrantVerdict Verdict = recordGrant(Witness, Key, Fingerprint, Now);
    recordGrantReply(Issuer, Key, Verdict, Now);
    beginAttempt(Issuer, Key, TimePoint::max(), Now);
    SharedOutcome Stored = finishCall(
        Issuer, Key, {CallOutcome::Answer, "answered", Answer, 0}, Now);
    recordOutcome(Witness, Key, *outcomeForWitness(Issuer, Stored), Now);
  }
};

void benchFormatKey(benchmark::State &State) {
  IdempotencyKey Key = HostPair().newKey();
  for (auto Round : State)
    benchmark::DoNotOptimize(formatKey(Key));
}
BENCHMARK(benchFormatKey);

void benchParseKey(benchmark::State &State) {
  std::string Text = formatKey(HostPair().newKey());
  for (auto Round : State)
    benchmark::DoNotOptimize(parseKey(Text).has_value());
}
BENCHMARK(benchParseKey);

void benchIssueKey(benchmark::State &State) {
  HostPair Hosts;
  for (auto Round : State)
    benchmark::DoNotOptimize(Hosts.newKey());
}
BENCHMARK(benchIssueKey);

// The tables are full, so that each call also drops a record.
void benchWholeCall(benchmark::State &State) {
  HostPair Hosts;
  std::string Answer(static_cast<std::size_t>(State.range(0)), 'x');
  for (std::size_t Count = 0; Count < Hosts.Issuer.Limits.RecordsMaximum;
       ++Count)
    Hosts.runCall(Hosts.newKey(), Answer);
  for (auto Round : State)
    Hosts.runCall(Hosts.newKey(), Answer);
}
BENCHMARK(benchWholeCall)->Arg(200)->Arg(16'384);

void benchReplay(benchmark::State &State) {
  HostPair Hosts;
  IdempotencyKey Key = Hosts.newKey();
  Hosts.runCall(Key, "body");
  for (auto Round : State)
    benchmark::DoNotOptimize(
        beginCall(Hosts.Issuer, Key, Fingerprint, Hosts.Now));
}
BENCHMARK(benchReplay);

void benchForgedKey(benchmark::State &State) {
  HostPair Hosts;
  IdempotencyKey Key = Hosts.newKey();
  ++Key.Tag;
  for (auto Round : State)
    benchmark::DoNotOptimize(
        beginCall(Hosts.Issuer, Key, Fingerprint, Hosts.Now));
}
BENCHMARK(benchForgedKey);

void benchSealFinishedKey(benchmark::State &State) {
  HostPair Hosts;
  IdempotencyKey Key = Hosts.newKey();
  Hosts.runCall(Key, "body");
  for (auto Round : State) {
    SealReply Reply = sealKey(Hosts.Witness, Key, Hosts.Now);
    benchmark::DoNotOptimize(decideAfterWitness(&Reply, Fingerprint));
  }
}
BENCHMARK(benchSealFinishedKey);

void benchChooseWitness(benchmark::State &State) {
  std::vector<WitnessCandidate> Peers;
  for (int Index = 0; Index < 16; ++Index)
    Peers.push_back({{HostId("entry-host-" + std::to_string(Index)), {}},
                     FailureDomain(std::string(1, char('a' + Index % 3))),
                     true});
  Random Generator(1);
  for (auto Round : State)
    benchmark::DoNotOptimize(
        chooseWitness(Peers, HostId("self"), FailureDomain("a"),
                      WitnessPlacement::SameDomain, Generator));
}
BENCHMARK(benchChooseWitness);

enum class FilledTable { Issuer, Witness };

// Measures the heap bytes per record of a full table. They include the stored
// answers, whose total size is bounded.
void benchMemory(benchmark::State &State, FilledTable Side) {
  for (auto Round : State) {
    HostPair Hosts;
    std::string Answer(static_cast<std::size_t>(State.range(0)), 'x');
    std::size_t Count = Hosts.Issuer.Limits.RecordsMaximum;
    if (Side == FilledTable::Witness)
      Hosts.Issuer.Limits.RecordsMaximum = 1;
    else
      Hosts.Witness.Limits.RecordsMaximum = 1;
    std::size_t Before = mallinfo2().uordblks + mallinfo2().hblkhd;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Hosts.runCall(Hosts.newKey(), Answer);
    std::size_t After = mallinfo2().uordblks + mallinfo2().hblkhd;
    State.counters["bytes_per_record"] =
        static_cast<double>(After - Before) / static_cast<double>(Count);
    State.counters["megabytes"] = static_cast<double>(After - Before) / 1e6;
  }
}
BENCHMARK_CAPTURE(benchMemory, issuer, FilledTable::Issuer)
    ->Arg(0)
    ->Arg(200)
    ->Arg(16'384)
    ->Iterations(1);
BENCHMARK_CAPTURE(benchMemory, witness, FilledTable::Witness)
    ->Arg(0)
    ->Arg(200)
    ->Arg(16'384)
    ->Iterations(1);

} // namespace
} // namespace comfreyrill
