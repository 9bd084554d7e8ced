#pragma once

#include <Client/Commands.h>
#include <LibJson/JsonText.h>
#include <LibManifest/ManifestUpdate.h>
#include <LibManifest/ManifestWriter.h>
#include <LibPlatform/FakePlatform.h>

#include <gtest/gtest.h>

namespace comfreyrill {

/// Admin listener of a host on a free port, with responses set by the test.
class FakeHost {
public:
  explicit FakeHost(const Executor &Context)
      : Server(std::make_shared<HttpServer>(
            Context, TimeSource, HttpLimits{},
            [this](HttpRequest Request, std::shared_ptr<Disconnect>) {
              return handle(std::move(Request));
            },
            [](http::status Status, const Error &) {
              return HttpResponse(Status, 11);
            })) {
    Server->listen({"127.0.0.1", 0}).value();
  }

  Endpoint endpoint() const { return Server->localEndpoint(); }
  void close() { Server->close(); }

  /// Response bodies by path without the query. Other paths get status 404.
  std::map<std::string, std::string> ResponseBodies;
  std::vector<std::string> Requests;
  std::string LastBody;
  std::function<void()> BeforeCall;

private:
  Awaitable<HttpResponse> handle(HttpRequest Request) {
    const std::string Target(Request.target());
    Requests.push_back(std::string(Request.method_string()) + " " + Target);
    LastBody = Request.body();
    if (BeforeCall)
      BeforeCall();
    const auto Match = ResponseBodies.find(Target.substr(0, Target.find('?')));
    HttpResponse Response(Match == ResponseBodies.end()
                              ? http::status::not_found
                              : http::status::ok,
                          11);
    if (Match != ResponseBodies.end())
      Response.body() = Match->second;
    Response.prepare_payload();
    co_return Response;
  }

  SystemClock TimeSource;
  std::shared_ptr<HttpServer> Server;
};

/// Runs commands against a fake platform and a fake host.
class ClientTest : public testing::Test {
protected:
  ClientTest()
      : Platform(Context.get_executor()), Host(Context.get_executor()) {
    Options.Platforms = {Platform.endpoint()};
    Options.Hosts = {Host.endpoint()};
    Options.Timeout = std::chrono::seconds(3);
    Options.File = COMFREYRILL_SOURCE_DIRECTORY "/examples/soitinlaina.json";
    setHostStatus(0, 0);
  }

  /// Sets the response to GET /v1/status: the manifest numbers in force on h1,
  /// which is the fake host itself, and on its peer h2, and the state of h2.
  void setHostStatus(std::uint64_t First, std::uint64_t Second,
                     const std::string &SecondState = "ready") {
    const auto Describe = [](const std::string &Name, std::uint64_t Number,
                             const std::string &State) {
      return R"("host":")" + Name +
             R"(","incarnation":"0000000000000001","failure_domain":"a",)" +
             R"("state":")" + State + R"(","added_later":[],)" +
             R"("manifest_number":)" + std::to_string(Number);
    };
    Host.ResponseBodies["/v1/status"] =
        "{" + Describe("h1", First, "ready") +
        R"(,"version":"0.1","peers":[{)" + Describe("h2", Second, SecondState) +
        R"(,"admin_address":"127.0.0.1:1"}],"services":[{"name":"stock",)" +
        R"("queued":1,"targets":[{"id":"t1","address":"127.0.0.1:8001",)" +
        R"("failure_domain":"a","slots":6,"in_flight":2,)" +
        R"("reported_in_flight":3,"draining":true,"ejected":false}]}]})";
  }

  /// Stores a change by another operator directly in the platform.
  void applyAsOtherOperator(const std::string &Name) {
    StoredObject &Object = Platform.Objects["manifest"];
    std::optional<ManifestEnvelope> Current;
    if (Object.Version.Value > 0)
      Current = parseEnvelope(Object.Value).value();
    const ManifestNumber Number = Current ? Current->Number : ManifestNumber{0};
    Object.Value = formatEnvelope(planApply(Current, Number, sampleManifest(),
                                            ApplyId(Name), {})
                                      .value())
                       .value();
    ++Object.Version.Value;
  }

  ManifestEnvelope storedEnvelope() {
    return parseEnvelope(Platform.Objects["manifest"].Value).value();
  }

  static Manifest sampleManifest() {
    Manifest Out;
    ServiceConfig Service;
    Service.Name = ServiceName("stock");
    Service.Targets.push_back(
        {TargetId("t1"), {"127.0.0.1", 8001}, FailureDomain("a"), 6});
    Out.Services.push_back(Service);
    return Out;
  }

  ExitCode run(Command Name) {
    Options.Name = Name;
    Output.clear();
    ErrorOutput.clear();
    PlatformSettings Settings;
    Settings.Endpoints = Options.Platforms;
    Settings.AttemptTimeout = std::chrono::milliseconds(100);
    Settings.Backoff.First = std::chrono::milliseconds(5);
    Random Generator(Seed++);
    PlatformClient Client(Context.get_executor(), TimeSource, Settings,
                          Random(Seed));
    ClientContext CommandContext{
        Options,
        TimeSource,
        Generator,
        Client,
        [this](std::string_view Text) { Output += Text; },
        [this](std::string_view Text) { ErrorOutput += Text; },
        TimeSource.now() + Options.Timeout,
        [this] { return Input; }};
    return runToEnd(Context, runCommand(CommandContext));
  }

  std::uint64_t Seed = 20261204;
  asio::io_context Context;
  SystemClock TimeSource;
  FakePlatform Platform;
  FakeHost Host;
  Arguments Options;
  std::string Input;
  std::string Output;
  std::string ErrorOutput;
};

} // namespace comfreyrill
