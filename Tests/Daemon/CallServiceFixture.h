#pragma once

#include <Daemon/CallService.h>
#include <LibHttp/HttpClient.h>

#include <functional>
#include <gtest/gtest.h>

namespace comfreyrill {

/// Runs a call service and its fake targets in one event loop.
class CallServiceFixture : public testing::Test {
protected:
  using TargetHandler = HttpServer::Handler;

  CallServiceFixture()
      : Output(LogLevel::Error, ""), Decisions(Loop.get_executor(), Output),
        Pool(Loop.get_executor(), TimeSource, std::chrono::seconds(30)),
        Services(TimeSource), Generator(1) {}

  /// Starts a fake target and adds it to the service "stock".
  Endpoint addTarget(const std::string &Id, TargetHandler Handle) {
    auto Server = std::make_shared<HttpServer>(
        Loop.get_executor(), TimeSource, HttpLimits{}, std::move(Handle),
        [](http::status Status, const Error &Cause) {
          return jsonResponse(Status, Cause.Message);
        });
    EXPECT_TRUE(Server->listen({"127.0.0.1", 0}).has_value());
    Targets.push_back(Server);
    TargetConfig Target;
    Target.Id = TargetId(Id);
    Target.Address = Server->localEndpoint();
    Target.Domain = FailureDomain("a");
    Target.Slots = 6;
    Service.Targets.push_back(Target);
    return Target.Address;
  }

  void applyManifest() {
    Service.Name = ServiceName("stock");
    Manifest Next;
    Next.Services = {Service};
    Services.apply(Next);
    const DaemonDependencies Dependencies{
        Loop.get_executor(), TimeSource,     Generator, Pool,
        Decisions,           ProcessMetrics, Services,  FailureDomain("a"),
        HttpLimits{}};
    Mesh = std::make_shared<PeerMesh>(Loop.get_executor(), TimeSource,
                                      PeerMeshLimits{}, Random(2));
    PeerDirectory EmptyDirectory;
    EmptyDirectory.Find = [](const HostProcess &) { return std::nullopt; };
    EmptyDirectory.Candidates = [] { return std::vector<WitnessCandidate>(); };
    Keys = std::make_unique<KeyedCalls>(
        Dependencies, HostProcess{HostId("h1"), HostIncarnation{1}}, *Mesh,
        EmptyDirectory);
    Members = makeMemberTable(HostDescription{}, {}, MembershipSettings{},
                              TimeSource.now());
    PeerBroadcast =
        std::make_unique<Broadcast>(TimeSource, Members, *Mesh, ProcessMetrics);
    Quarantine =
        std::make_unique<QuarantineService>(Dependencies, *PeerBroadcast);
    Probes = std::make_unique<Prober>(Dependencies, *PeerBroadcast);
    Calls = std::make_unique<CallService>(Dependencies, *Keys, *Quarantine,
                                          *Probes, "test-");
  }

  /// Runs one call until its response is complete.
  HttpResponse call(HttpRequest Request) {
    std::optional<HttpResponse> Response;
    asio::co_spawn(
        Loop,
        [&]() -> Awaitable<void> {
          Response = co_await Calls->handle(std::move(Request),
                                            std::make_shared<Disconnect>());
        },
        asio::detached);
    Loop.restart();
    while (!Response && Loop.run_one() > 0) {
    }
    return Response ? std::move(*Response) : HttpResponse{};
  }

  asio::io_context Loop;
  SystemClock TimeSource;
  Log Output;
  DecisionLog Decisions;
  ConnectionPool Pool;
  ServiceTable Services;
  Random Generator;
  Metrics ProcessMetrics;
  ServiceConfig Service;
  std::vector<std::shared_ptr<HttpServer>> Targets;
  std::shared_ptr<PeerMesh> Mesh;
  MemberTable Members;
  std::unique_ptr<KeyedCalls> Keys;
  std::unique_ptr<Broadcast> PeerBroadcast;
  std::unique_ptr<QuarantineService> Quarantine;
  std::unique_ptr<Prober> Probes;
  std::unique_ptr<CallService> Calls;
};

} // namespace comfreyrill
