// Round-trip time of a grant request. Each non-idempotent call waits for one.

#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <algorithm>
#include <benchmark/benchmark.h>
#include <thread>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

wire::PeerBody grantRequest() {
  wire::PeerBody Body;
  Body.__isset.grant_request = true;
  // Keys name two hosts, two incarnations, a sequence, an expiry and a tag.
  Body.grant_request.key =
      "entry-host-101.9e3779b97f4a7c15.entry-host-102.3c6ef372fe94f82a."
      "123456789.1790000000000.0123456789abcdef";
  Body.grant_request.fingerprint = 0x123456789ABCDEF;
  return Body;
}

Awaitable<void> requestMany(PeerMesh &Mesh, Endpoint Remote, int Count,
                            std::vector<Duration> &Times) {
  for (int Index = 0; Index < Count; ++Index) {
    const TimePoint Begin = BootClock::now();
    const auto Reply =
        co_await Mesh.request(Remote, grantRequest(), Begin + 5s);
    if (Reply)
      Times.push_back(BootClock::now() - Begin);
  }
}

// The witness runs in a separate thread, because in a fleet it runs on another
// host. Range 0 is the number of concurrent requests.
void grantRoundTrip(benchmark::State &State) {
  constexpr int Requests = 20000;
  const auto Concurrency = static_cast<int>(State.range(0));
  SystemClock TimeSource;
  asio::io_context WitnessContext(1);
  const auto Witness = std::make_shared<PeerServer>(
      WitnessContext.get_executor(), TimeSource, PeerServerLimits{},
      [](const wire::PeerBody &, const PeerReply &Reply) {
        wire::PeerBody Body;
        Body.__isset.grant_reply = true;
        Body.grant_reply.verdict = wire::GrantVerdict::GRANTED;
        Reply.send(Body);
      });
  (void)Witness->listen({"127.0.0.1", 0}).value();
  const Endpoint Remote = Witness->localEndpoint();
  std::thread WitnessThread([&] { WitnessContext.run(); });
  asio::io_context Context(1);
  const auto Mesh = std::make_shared<PeerMesh>(
      Context.get_executor(), TimeSource, PeerMeshLimits{}, Random(1));
  std::vector<Duration> Times;
  Times.reserve(Requests);
  for (auto Step : State) {
    Times.clear();
    Context.restart();
    int Running = Concurrency;
    for (int Index = 0; Index < Concurrency; ++Index)
      asio::co_spawn(Context,
                     requestMany(*Mesh, Remote, Requests / Concurrency, Times),
                     [&](const std::exception_ptr &) {
                       if (--Running == 0)
                         Context.stop();
                     });
    Context.run();
  }
  Mesh->close();
  Context.restart();
  Context.run();
  asio::post(WitnessContext, [&] { Witness->close(); });
  WitnessThread.join();
  std::sort(Times.begin(), Times.end());
  const auto Quantile = [&](double Share) {
    const auto Index =
        static_cast<std::size_t>(Share * static_cast<double>(Times.size() - 1));
    return std::chrono::duration<double, std::micro>(Times[Index]).count();
  };
  State.counters["answered"] = static_cast<double>(Times.size());
  State.counters["p50_us"] = Quantile(0.5);
  State.counters["p99_us"] = Quantile(0.99);
  State.counters["requests_per_s"] = benchmark::Counter(
      static_cast<double>(Requests) * static_cast<double>(State.iterations()),
      benchmark::Counter::kIsRate);
}
BENCHMARK(grantRoundTrip)
    ->Arg(1)
    ->Arg(32)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

// CPU time of the codec alone.
void grantEncodeDecode(benchmark::State &State) {
  wire::PeerMessage Message;
  Message.correlation = 123456;
  Message.body = grantRequest();
  for (auto Step : State) {
    const auto Frame = encodeFrame(Message).value();
    benchmark::DoNotOptimize(
        decode(std::string_view(Frame).substr(FrameHeaderBytes)));
  }
}
BENCHMARK(grantEncodeDecode);

} // namespace
} // namespace comfreyrill
