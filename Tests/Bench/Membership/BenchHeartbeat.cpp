// Bytes and CPU time of the heartbeats of one host, by number of hosts.

#include <LibCore/Random.h>
#include <LibMembership/Documents.h>
#include <LibMembership/HeartbeatProcessing.h>
#include <LibMembership/Heartbeats.h>
#include <LibMembership/Roles.h>
#include <LibPeer/HeartbeatConversion.h>
#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <atomic>
#include <benchmark/benchmark.h>
#include <sys/resource.h>
#include <thread>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

// IPv4 and TCP headers with timestamps. Each heartbeat takes one packet and is
// acknowledged by another one.
constexpr double PacketBytes = 52;
constexpr Duration TickInterval = 50ms;

HostDescription describe(std::int64_t Index, const Endpoint &PeerAddress) {
  HostDescription Host;
  Host.Host = HostId("entry-host-" + std::to_string(100 + Index));
  Host.Incarnation = {0x9E3779B97F4A7C15U *
                      static_cast<std::uint64_t>(Index + 1)};
  Host.StartedAt = std::chrono::milliseconds(1'790'000'000'000 + Index);
  Host.Domain = FailureDomain(
      "domain-" + std::string(1, static_cast<char>('a' + Index % 7)));
  Host.PeerAddress = PeerAddress;
  Host.CallerAddress = {PeerAddress.Address, 17001};
  Host.AdminAddress = {PeerAddress.Address, 17201};
  Host.State = HostState::Ready;
  Host.Manifest = {123456};
  Host.FleetVersion = 98765;
  return Host;
}

wire::PeerBody bodyOf(const Heartbeat &Content) {
  wire::PeerBody Body;
  Body.heartbeat = toWire(Content);
  Body.__isset.heartbeat = true;
  return Body;
}

// The membership decisions that a host makes in each tick besides heartbeats.
void decide(MemberTable &Table, TimePoint Now, Random &Generator) {
  expirePeers(Table, Now);
  benchmark::DoNotOptimize(platformPollingPlan(Table, Now));
  benchmark::DoNotOptimize(
      chooseDocumentSource(Table, DocumentKind::Manifest, Now, Generator));
  benchmark::DoNotOptimize(
      chooseDocumentSource(Table, DocumentKind::FleetList, Now, Generator));
}

// One minute of a fleet in simulated time without sockets: decide, convert,
// encode, decode and merge.
void heartbeatMinute(benchmark::State &State) {
  const auto Count = State.range(0);
  TimePoint Now{1h};
  Random Generator(1);
  std::vector<MemberTable> Tables;
  const auto AddressOf = [](std::int64_t Index) {
    return Endpoint{"192.168.100." + std::to_string(100 + Index), 17101};
  };
  for (std::int64_t Index = 0; Index < Count; ++Index)
    Tables.push_back(makeMemberTable(describe(Index, AddressOf(Index)),
                                     {AddressOf(0), AddressOf(1)}, {}, Now));
  std::uint64_t Bytes = 0;
  std::uint64_t Messages = 0;
  const auto Run = [&](Duration Time) {
    for (const TimePoint End = Now + Time; Now < End; Now += TickInterval)
      for (auto &Table : Tables) {
        decide(Table, Now, Generator);
        for (const auto &Sent : dueHeartbeats(Table, Now, Generator)) {
          wire::PeerMessage Message;
          Message.body = bodyOf(Sent.Content);
          const auto Frame = encodeFrame(Message).value();
          Bytes += Frame.size();
          ++Messages;
          const auto Decoded =
              decode(std::string_view(Frame).substr(FrameHeaderBytes)).value();
          const auto Received = fromWire(Decoded.body.heartbeat).value();
          for (auto &Receiver : Tables)
            if (Receiver.Self.PeerAddress == Sent.Remote)
              processHeartbeat(Receiver, Received, Now);
        }
      }
  };
  Run(10s);
  Bytes = 0;
  Messages = 0;
  for (auto Step : State)
    Run(60s);
  const double HostSeconds =
      60.0 * static_cast<double>(State.iterations() * Count);
  // Each host receives as much as it sends.
  const double Each = 2.0 / HostSeconds;
  const auto Total = static_cast<double>(Bytes);
  const auto Packets = 2.0 * static_cast<double>(Messages);
  State.counters["payload_B_per_s"] = Total * Each;
  State.counters["wire_B_per_s"] = (Total + Packets * PacketBytes) * Each;
  State.counters["bytes_per_heartbeat"] = Total / static_cast<double>(Messages);
  State.counters["interval_ms"] =
      std::chrono::duration<double, std::milli>(heartbeatInterval(Tables[0]))
          .count();
  // CPU time divided by the simulated time of all hosts.
  State.counters["cpu_percent"] =
      benchmark::Counter(HostSeconds / 100.0, benchmark::Counter::kIsRate |
                                                  benchmark::Counter::kInvert);
}
BENCHMARK(heartbeatMinute)
    ->Arg(3)
    ->Arg(15)
    ->Arg(40)
    ->Unit(benchmark::kMillisecond);

double processSeconds() {
  rusage Usage{};
  ::getrusage(RUSAGE_SELF, &Usage);
  const auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) / 1e6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

// A host with its own thread and event loop, as in a separate process.
struct LiveHost {
  LiveHost(const Clock &TimeSource, std::int64_t Index,
           const std::vector<Endpoint> &Seeds)
      : TimeSource(TimeSource), Generator(static_cast<std::uint64_t>(Index)),
        TickTimer(Context.get_executor()) {
    Mesh = std::make_shared<PeerMesh>(Context.get_executor(), TimeSource,
                                      PeerMeshLimits{}, Generator);
    Server = std::make_shared<PeerServer>(
        Context.get_executor(), TimeSource, PeerServerLimits{},
        [this](const wire::PeerBody &Body, const PeerReply &) {
          const auto Received = fromWire(Body.heartbeat);
          if (Received)
            processHeartbeat(Table, Received.value(), this->TimeSource.now());
        });
    (void)Server->listen({"127.0.0.1", 0}).value();
    Table = makeMemberTable(describe(Index, Server->localEndpoint()), Seeds, {},
                            TimeSource.now());
  }

  void start() {
    Thread = std::thread([this] {
      tick();
      Context.run();
    });
  }

  void stop() {
    asio::post(Context, [this] {
      Stopped = true;
      TickTimer.cancel();
      Mesh->close();
      Server->close();
    });
    Thread.join();
  }

  void tick() {
    const TimePoint Now = TimeSource.now();
    decide(Table, Now, Generator);
    for (const auto &Sent : dueHeartbeats(Table, Now, Generator))
      (void)Mesh->send(Sent.Remote, bodyOf(Sent.Content));
    Bytes = Mesh->traffic().BytesSent + Server->traffic().BytesReceived;
    Alive = aliveCount(Table, Now);
    TickTimer.expires_at(Now + TickInterval);
    TickTimer.async_wait([this](const boost::system::error_code &Code) {
      if (!Code && !Stopped)
        tick();
    });
  }

  asio::io_context Context{1};
  const Clock &TimeSource;
  Random Generator;
  Timer TickTimer;
  bool Stopped = false;
  MemberTable Table;
  std::shared_ptr<PeerMesh> Mesh;
  std::shared_ptr<PeerServer> Server;
  std::atomic<std::uint64_t> Bytes = 0;
  std::atomic<std::size_t> Alive = 0;
  std::thread Thread;
};

// Five seconds of a fleet in real time over the loopback interface.
void fleetOverLoopback(benchmark::State &State) {
  const auto Count = State.range(0);
  constexpr Duration MeasuredTime = 5s;
  const SystemClock TimeSource;
  for (auto Step : State) {
    std::vector<std::unique_ptr<LiveHost>> Hosts;
    std::vector<Endpoint> Seeds;
    for (std::int64_t Index = 0; Index < Count; ++Index) {
      Hosts.push_back(std::make_unique<LiveHost>(TimeSource, Index, Seeds));
      if (Index < 2)
        Seeds.push_back(Hosts.back()->Server->localEndpoint());
    }
    for (auto &Host : Hosts)
      Host->start();
    std::this_thread::sleep_for(3s);
    const auto TotalBytes = [&] {
      std::uint64_t Total = 0;
      for (const auto &Host : Hosts)
        Total += Host->Bytes;
      return Total;
    };
    for (const auto &Host : Hosts)
      if (Host->Alive + 1 != static_cast<std::size_t>(Count))
        State.SkipWithError("some hosts do not consider each other alive");
    const std::uint64_t BytesBefore = TotalBytes();
    const double SecondsBefore = processSeconds();
    std::this_thread::sleep_for(MeasuredTime);
    const double Used = processSeconds() - SecondsBefore;
    const std::uint64_t BytesAfter = TotalBytes();
    const double HostSeconds =
        std::chrono::duration<double>(MeasuredTime).count() *
        static_cast<double>(Count);
    State.counters["cpu_percent"] = 100.0 * Used / HostSeconds;
    State.counters["payload_B_per_s"] =
        static_cast<double>(BytesAfter - BytesBefore) / HostSeconds;
    for (auto &Host : Hosts)
      Host->stop();
  }
}
BENCHMARK(fleetOverLoopback)
    ->Arg(3)
    ->Arg(15)
    ->Arg(40)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace comfreyrill
