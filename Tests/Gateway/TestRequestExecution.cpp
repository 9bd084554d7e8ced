#include "CopyingTarget.h"
#include "EndlessTarget.h"

#include <RequestExecution.h>
#include <RequestExplainer.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

/// A target that speaks the platform's protocol. Behaviour answers the requests
/// that are not probes.
class FakeTarget {
public:
  using Behaviour =
      std::function<Awaitable<HttpResponse>(const HttpRequest &Request)>;

  FakeTarget(asio::io_context &Loop, const Clock &TimeSource, Behaviour Answer)
      : Server(std::make_shared<HttpServer>(
            Loop.get_executor(), TimeSource, HttpLimits{},
            [this, Answer = std::move(Answer)](
                HttpRequest Request, std::shared_ptr<Disconnect> CallerLeft)
                -> Awaitable<HttpResponse> {
              if (!Id.empty() && Request["Expected-Instance"] != Id) {
                HttpResponse Refusal(http::status::misdirected_request, 11);
                Refusal.set("Request-Id", Request["Request-Id"]);
                Refusal.prepare_payload();
                ++Misdirected;
                co_return Refusal;
              }
              if (Request.target() != HealthPath &&
                  Request["Request-Id"].empty()) {
                HttpResponse Refusal(http::status::bad_request, 11);
                Refusal.set("Not-Executed", "1");
                Refusal.prepare_payload();
                co_return Refusal;
              }
              if (Request.target() == HealthPath) {
                HttpResponse Health(http::status::ok, 11);
                ++Probes;
                if (HealthDelay > Duration::zero()) {
                  Timer Delay(co_await asio::this_coro::executor);
                  Delay.expires_after(HealthDelay);
                  co_await Delay.async_wait(UseTuple);
                }
                Health.set("Backend-Load", Load);
                if (!Id.empty())
                  Health.set("Backend-Id", Id);
                if (RepeatsProbeId)
                  Health.set("Request-Id", Request["Request-Id"]);
                Health.prepare_payload();
                if (ChangeHealth)
                  ChangeHealth(Health);
                co_return Health;
              }
              ++Runs;
              CallerLeft->onOccurrence([this] { HasCallerLeft = true; });
              co_return co_await Answer(Request);
            },
            [](http::status Status, const Error &) {
              return HttpResponse(Status, 11);
            })) {
    EXPECT_TRUE(Server->listen({"127.0.0.1", 0}));
  }
  ~FakeTarget() { Server->close(); }

  Endpoint address() const { return Server->localEndpoint(); }
  /// Ends the process of the target.
  void end() { Server->close(); }

  /// Load report of the health path.
  std::string Load = "0,0,6,100";
  Duration HealthDelay{0};
  /// Changes the answers of the health path.
  std::function<void(HttpResponse &Health)> ChangeHealth;
  /// If set, the target refuses what is meant for another one.
  std::string Id;
  std::string HealthPath = "/health";
  int Runs = 0;
  int Probes = 0;
  int Misdirected = 0;
  bool HasCallerLeft = false;
  bool RepeatsProbeId = true;

private:
  std::shared_ptr<HttpServer> Server;
};

HttpResponse signedAnswer(const HttpRequest &Request, std::string Body) {
  HttpResponse Made(http::status::ok, 11);
  Made.set("Response-Signature", "3e1b");
  Made.set("Request-Id", Request["Request-Id"]);
  Made.body() = std::move(Body);
  Made.prepare_payload();
  return Made;
}

Awaitable<HttpResponse> answerWhole(const HttpRequest &Request) {
  co_return signedAnswer(Request, "whole");
}

Awaitable<HttpResponse> answerShed(const HttpRequest &Request) {
  HttpResponse Shed(http::status::service_unavailable, 11);
  Shed.set("Request-Id", Request["Request-Id"]);
  Shed.set("Not-Executed", "1");
  Shed.prepare_payload();
  co_return Shed;
}

Awaitable<HttpResponse> answerShedWithoutId(const HttpRequest &Request) {
  HttpResponse Shed = co_await answerShed(Request);
  Shed.erase("Request-Id");
  co_return Shed;
}

Awaitable<HttpResponse> answerPausing(const HttpRequest &Request) {
  HttpResponse Shed = co_await answerShed(Request);
  Shed.erase("Not-Executed");
  Shed.set(http::field::retry_after, "60");
  co_return Shed;
}

/// Makes a behaviour whose answers say that the target leaves.
FakeTarget::Behaviour leaving(FakeTarget::Behaviour Answer) {
  return [Answer = std::move(Answer)](
             const HttpRequest &Request) -> Awaitable<HttpResponse> {
    HttpResponse Made = co_await Answer(Request);
    Made.set("Server-Leaving", "1");
    co_return Made;
  };
}

Awaitable<HttpResponse> answerOtherRequest(const HttpRequest &Request) {
  HttpResponse Made = signedAnswer(Request, "late copy");
  Made.set("Request-Id", "r-0");
  co_return Made;
}

Awaitable<HttpResponse> answerUnsigned(const HttpRequest &Request) {
  HttpResponse Made(http::status::ok, 11);
  Made.set("Request-Id", Request["Request-Id"]);
  Made.body() = "not the target's";
  Made.prepare_payload();
  co_return Made;
}

/// Makes a behaviour whose answers break off in their bodies.
FakeTarget::Behaviour breakingOff(FakeTarget::Behaviour Answer) {
  return [Answer = std::move(Answer)](
             const HttpRequest &Request) -> Awaitable<HttpResponse> {
    HttpResponse Made = co_await Answer(Request);
    Made.content_length(Made.body().size() + 100);
    co_return Made;
  };
}

Awaitable<HttpResponse> answerLate(const HttpRequest &Request) {
  Timer Pause(co_await asio::this_coro::executor);
  Pause.expires_after(2s);
  co_await Pause.async_wait(UseTuple);
  co_return signedAnswer(Request, "late");
}

class RequestExecutionTest : public testing::Test {
protected:
  static constexpr std::uint64_t MessageBytesMaximum = 3'000'000;

  void configure(ExecutionSemantics Semantics, Duration Timeout = 1s,
                 std::string HealthPath = "/health") {
    Configuration Made;
    Made.Version = {3};
    Route Only;
    Only.Name = "only";
    Only.Host = "a.example";
    Only.PathPrefix = "/x/";
    Only.Semantics = Semantics;
    Only.Timeout = Timeout;
    Only.LatencyObjective = 400ms;
    Only.AttemptsMaximum = 2;
    Only.Services = {{ServiceName("stock"), 1}};
    Made.Routes = {Only};
    Made.Services = {{ServiceName("stock"), std::move(HealthPath), 10}};
    CurrentState.applyConfiguration(std::move(Made), "", "test");
  }

  FakeTarget &addTarget(FakeTarget::Behaviour Answer,
                        const std::string &Domain = "west") {
    Targets.push_back(
        std::make_unique<FakeTarget>(Loop, TimeSource, std::move(Answer)));
    registerTarget("i-" + std::to_string(Targets.size()),
                   Targets.back()->address(), Domain);
    return *Targets.back();
  }

  void registerTarget(const std::string &Id, const Endpoint &Address,
                      const std::string &Domain = "west") {
    TargetRegistration Registered;
    Registered.Id = TargetId(Id);
    Registered.Service = ServiceName("stock");
    Registered.Address = Address;
    Registered.Domain = FailureDomain(Domain);
    Registered.Slots = 6;
    CurrentState.applyTargetChange({Registered.Id, Registered, {++Revision}},
                                   "test");
  }

  /// Makes the first target preferred over the others.
  void preferFirstTarget() {
    for (std::size_t Index = 2; Index <= Targets.size(); ++Index)
      CurrentState.recordFailure(TargetId("i-" + std::to_string(Index)),
                                 TargetFailure::Connection);
  }

  std::shared_ptr<RequestExecution> make(const std::string &Path,
                                         const std::string &Id,
                                         std::string Body = {},
                                         const std::string &Key = {}) {
    HttpRequest Request(http::verb::get, Path, 11);
    Request.set(http::field::host, "a.example");
    Request.set("Request-Id", Id);
    Request.set("Request-Deadline", "3000");
    if (!Key.empty())
      Request.set("X-Api-Key", Key);
    Request.body() = std::move(Body);
    Request.prepare_payload();
    return std::make_shared<RequestExecution>(Dependencies, Prober, *Quarantine,
                                              std::move(Request), "192.0.2.1");
  }

  std::shared_ptr<RequestExecution> begin(const std::string &Path = "/x/1",
                                          const std::string &Id = "r-1",
                                          std::string Body = {}) {
    auto Execution = make(Path, Id, std::move(Body));
    start(Execution);
    return Execution;
  }

  void start(const std::shared_ptr<RequestExecution> &Execution) {
    asio::co_spawn(
        Loop,
        [this, Execution]() -> Awaitable<void> {
          Answer = co_await Execution->run();
        },
        asio::detached);
  }

  /// Sends a request with the key of an account, unless it is empty, and with
  /// forged names of accounts.
  HttpResponse sendWithKey(const std::string &Key) {
    HttpRequest Request(http::verb::get, "/x/1", 11);
    Request.set(http::field::host, "a.example");
    Request.set("Request-Id", "r-1");
    Request.insert("Tenant", "forged");
    Request.insert("Tenant", "twice");
    if (!Key.empty())
      Request.set("X-Api-Key", Key);
    Answer.reset();
    start(std::make_shared<RequestExecution>(Dependencies, Prober, *Quarantine,
                                             std::move(Request), "192.0.2.1"));
    return finish();
  }

  /// Sends a request that another host has relayed with so many attempts left.
  HttpResponse sendRelayed(const std::string &Attempts) {
    HttpRequest Request(http::verb::get, "/x/1", 11);
    Request.set(http::field::host, "a.example");
    Request.set("Request-Id", "r-1");
    Request.set("Comfreyrill-Relay-Attempts", Attempts);
    start(std::make_shared<RequestExecution>(Dependencies, Prober, *Quarantine,
                                             std::move(Request), "192.0.2.1"));
    return finish();
  }

  /// Configures a limit for cold targets. This host has no share of it, because
  /// it does not know the hosts of its domain.
  void configureColdLimit() {
    configure(ExecutionSemantics::Idempotent);
    Configuration Limited = *CurrentState.configuration();
    Limited.Version = {4};
    Limited.Services.front().ColdRate = 1;
    CurrentState.applyConfiguration(std::move(Limited), "", "test");
  }

  HttpResponse finish() {
    // The loop stops when nothing is left to do after a former request.
    Loop.restart();
    while (!Answer && Loop.run_one() > 0) {
    }
    return std::move(*Answer);
  }

  // Connections that the loop still holds at the end refer to it.
  MessageMemory Messages{{MessageBytesMaximum, MessageBytesMaximum}};
  asio::io_context Loop{1};
  SystemClock TimeSource;
  Log Output{LogLevel::Error, ""};
  RateLimitedLog Events{Output, TimeSource};
  Random Generator{20261204};
  ConnectionPool Pool{Loop.get_executor(), TimeSource, 5s, &Messages};
  GatewayState CurrentState{TimeSource, Generator, Events};
  GatewayMetrics ProcessMetrics;
  ProbeTokenBucket Bucket;
  GatewayDependencies Dependencies{Loop.get_executor(),
                                   TimeSource,
                                   Generator,
                                   Pool,
                                   CurrentState,
                                   Events,
                                   ProcessMetrics,
                                   FailureDomain("west"),
                                   {0.2, 10, 10s},
                                   Bucket,
                                   60,
                                   std::nullopt,
                                   Messages,
                                   [] { return std::size_t{1}; }};
  TargetProber Prober{Dependencies};
  std::shared_ptr<CrashQuarantine> Quarantine =
      std::make_shared<CrashQuarantine>(Dependencies);
  std::vector<std::unique_ptr<FakeTarget>> Targets;
  std::uint64_t Revision = 0;
  std::optional<HttpResponse> Answer;
};

TEST_F(RequestExecutionTest, AnswerOfTheTargetIsForwarded) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Only = addTarget(answerWhole);
  begin();
  const HttpResponse Response = finish();
  EXPECT_EQ(Response.result(), http::status::ok);
  EXPECT_EQ(Response.body(), "whole");
  EXPECT_EQ(Response["Response-Signature"], "3e1b");
  EXPECT_EQ(Only.Runs, 1);
}

// Guards against a restarted host that refuses the callers which come back at
// once, although it can serve them a moment later.
TEST_F(RequestExecutionTest, RequestOfAStartingHostIsHeldUntilConfigured) {
  FakeTarget &Only = addTarget(answerWhole);
  begin();
  Loop.run_for(30ms);
  EXPECT_FALSE(Answer);
  configure(ExecutionSemantics::AtMostOnce);
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Only.Runs, 1);
}

// Guards against a host that holds callers although it learns nothing.
TEST_F(RequestExecutionTest, HostThatLearnsNothingRefusesSoon) {
  const TimePoint Begin = TimeSource.now();
  begin();
  const HttpResponse Response = finish();
  EXPECT_EQ(Response.result(), http::status::service_unavailable);
  EXPECT_FALSE(Response[http::field::retry_after].empty());
  EXPECT_GE(TimeSource.now() - Begin, 200ms);
}

// Guards against a held request that goes on after its caller has left.
TEST_F(RequestExecutionTest, HeldRequestEndsWithItsCaller) {
  const auto Execution = begin();
  Loop.run_for(30ms);
  Execution->cancel();
  Loop.run_for(30ms);
  EXPECT_TRUE(Answer);
}

/// Adds two accounts to a configuration.
void addAccounts(Configuration &Made) {
  Made.Accounts = {{AccountName("alder"), std::nullopt, 100, 10},
                   {AccountName("birch"), 2, 0, 0}};
  EXPECT_TRUE(addKey(Made.Keys, "key-of-alder", 0));
  EXPECT_TRUE(addKey(Made.Keys, "key-of-birch", 1));
}

// Guards against a key that reaches a target, an account that the caller chose
// itself, and requests without a key that run.
TEST_F(RequestExecutionTest, TargetsLearnTheAccountAndNeverTheKey) {
  configure(ExecutionSemantics::AtMostOnce);
  Configuration Changed = *CurrentState.configuration();
  Changed.Version.Value += 1;
  addAccounts(Changed);
  CurrentState.applyConfiguration(Changed, "", "test");
  std::vector<std::string> Received;
  FakeTarget &Only =
      addTarget([&](const HttpRequest &Request) -> Awaitable<HttpResponse> {
        for (const auto &Field : Request)
          EXPECT_EQ(std::string(Field.value()).find("key-of"),
                    std::string::npos);
        Received.emplace_back(Request["Tenant"]);
        co_return signedAnswer(Request, "whole");
      });
  const auto Send = [&](const std::string &Key) {
    return sendWithKey(Key).result();
  };
  EXPECT_EQ(Send(""), http::status::unauthorized);
  EXPECT_EQ(Send("key-of-nobody"), http::status::unauthorized);
  EXPECT_EQ(Only.Runs, 0);
  EXPECT_EQ(Send("key-of-alder"), http::status::ok);
  EXPECT_EQ(Send("key-of-birch"), http::status::ok);
  EXPECT_EQ(Received, (std::vector<std::string>{"alder", "birch"}));

  // A public route needs no key, and a forged account is removed there, too.
  Changed.Version.Value += 1;
  Changed.Routes.front().IsPublic = true;
  CurrentState.applyConfiguration(Changed, "", "test");
  EXPECT_EQ(Send(""), http::status::ok);
  EXPECT_EQ(Send("key-of-nobody"), http::status::ok);
  EXPECT_EQ(Received.back(), "");
}

// Guards against requests to an evacuated domain from a host that has
// restarted: it gets its configuration before it hears of the evacuation.
TEST_F(RequestExecutionTest, NothingRunsBeforeEvacuationsAreKnown) {
  CurrentState.setHasEvacuations(true);
  configure(ExecutionSemantics::Idempotent);
  FakeTarget &Only = addTarget(answerWhole);
  begin();
  HttpResponse Refusal = finish();
  EXPECT_EQ(Refusal.result(), http::status::service_unavailable);
  EXPECT_NE(Refusal[http::field::retry_after], "");
  EXPECT_EQ(Only.Runs + Only.Probes, 0);
  CurrentState.applyEvacuationReport({{7}, {}, true}, "test");
  Answer.reset();
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
}

// Guards against a host that serves no callers although nobody can tell it
// which domains are evacuated.
TEST_F(RequestExecutionTest, EvacuationsAreAwaitedForALimitedTime) {
  CurrentState.setHasEvacuations(true);
  configure(ExecutionSemantics::Idempotent);
  addTarget(answerWhole);
  Loop.run_for(1600ms);
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
}

// Guards against a request that runs with a key or route that was removed while
// the request was held, and against its token being lost.
TEST_F(RequestExecutionTest, HeldRequestIsCheckedAgainAfterAChange) {
  for (const bool IsRouteRemoved : {false, true}) {
    configure(ExecutionSemantics::AtMostOnce, 3s);
    Configuration Changed = *CurrentState.configuration();
    Changed.Version.Value += 10;
    addAccounts(Changed);
    CurrentState.applyConfiguration(Changed, "", "test");
    int Tokens = 1;
    Dependencies.AcquireToken =
        [&](const ClientAccount &) -> Awaitable<std::optional<Duration>> {
      --Tokens;
      co_return std::nullopt;
    };
    Dependencies.ReturnToken = [&](const AccountName &) { ++Tokens; };
    FakeTarget &Paused = addTarget(answerWhole);
    TargetSignals Pausing;
    Pausing.Pause = 2s;
    CurrentState.recordSignals(
        {TargetId("i-" + std::to_string(Targets.size())), 0}, Paused.address(),
        Pausing, SignalSource::Answer);
    ProcessMetrics.counter("requests_held_for_pause_total") = 0;
    Answer.reset();
    auto Held = make("/x/1", "r-1", {}, "key-of-alder");
    start(Held);
    while (ProcessMetrics.counter("requests_held_for_pause_total") == 0 &&
           !Answer && Loop.run_one() > 0) {
    }
    Changed.Version.Value += 10;
    if (IsRouteRemoved)
      Changed.Routes.clear();
    else
      Changed.Keys = {};
    CurrentState.applyConfiguration(Changed, "", "test");
    FakeTarget &Free = addTarget(answerWhole);
    EXPECT_EQ(finish().result(), IsRouteRemoved ? http::status::not_found
                                                : http::status::unauthorized);
    EXPECT_EQ(Paused.Runs + Free.Runs, 0);
    EXPECT_EQ(Tokens, 1);
    CurrentState.applyTargetChange(
        {TargetId("i-" + std::to_string(Targets.size())),
         std::nullopt,
         {++Revision}},
        "test");
  }
}

// Guards against requests beyond an allotment that run, and against tokens that
// are lost with requests that were refused for another reason.
TEST_F(RequestExecutionTest, AllotmentsAreEnforcedAndTokensReturned) {
  configure(ExecutionSemantics::AtMostOnce);
  Configuration Changed = *CurrentState.configuration();
  Changed.Version.Value += 1;
  addAccounts(Changed);
  Changed.Routes.front().IsPublic = false;
  CurrentState.applyConfiguration(Changed, "", "test");
  int Tokens = 1;
  Dependencies.AcquireToken =
      [&](const ClientAccount &Holder) -> Awaitable<std::optional<Duration>> {
    EXPECT_EQ(Holder.Name, AccountName("alder"));
    if (Tokens == 0)
      co_return Duration(250ms);
    --Tokens;
    co_return std::nullopt;
  };
  Dependencies.ReturnToken = [&](const AccountName &) { ++Tokens; };
  const auto Send = [&] { return sendWithKey("key-of-alder"); };
  EXPECT_EQ(Send().result(), http::status::service_unavailable);
  EXPECT_EQ(Tokens, 1);
  // No service of the route has a weight.
  Configuration Weightless = Changed;
  Weightless.Version.Value += 1;
  Weightless.Routes.front().Services.front().Weight = 0;
  CurrentState.applyConfiguration(Weightless, "", "test");
  EXPECT_EQ(Send().result(), http::status::service_unavailable);
  EXPECT_EQ(Tokens, 1);
  Changed.Version.Value += 2;
  CurrentState.applyConfiguration(Changed, "", "test");
  FakeTarget &Only = addTarget(answerWhole);
  EXPECT_EQ(Send().result(), http::status::ok);
  const HttpResponse Refusal = Send();
  EXPECT_EQ(Refusal.result(), http::status::too_many_requests);
  EXPECT_EQ(Refusal[http::field::retry_after], "0.250");
  EXPECT_EQ(Only.Runs, 1);
}

// Guards against a request that is refused, or whose bytes are not counted,
// in a domain without targets of its own.
TEST_F(RequestExecutionTest, RequestLeavesADomainWithoutTargets) {
  DomainTable Domains;
  const auto Routing =
      std::make_shared<DomainRouting>(Dependencies, Domains, 2e-6);
  Dependencies.Domains = Routing.get();
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Remote = addTarget(answerWhole, "east");
  begin("/x/1", "r-1", std::string(1000, 'x'));
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Remote.Runs, 1);
  EXPECT_EQ(
      ProcessMetrics.counter("bytes_to_other_domains_total{service=\"stock\"}"),
      1000U);
}

// Guards against probes and requests in other domains while the own one has
// no need of them, although its only target is busy at the moment.
TEST_F(RequestExecutionTest, RequestStaysWithoutPressure) {
  DomainTable Domains;
  const auto Routing =
      std::make_shared<DomainRouting>(Dependencies, Domains, 2e-6);
  Dependencies.Domains = Routing.get();
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Local = addTarget(answerWhole);
  Local.Load = "6,3,6,100";
  FakeTarget &Remote = addTarget(answerWhole, "east");
  begin();
  EXPECT_EQ(finish().result(), http::status::service_unavailable);
  EXPECT_GT(Local.Probes, 0);
  EXPECT_EQ(Remote.Probes, 0);
  EXPECT_EQ(Remote.Runs, 0);
}

// Guards against a request that is refused or late in a domain whose free
// targets are slow while a neighbor has a free one, and against departures that
// are not counted.
TEST_F(RequestExecutionTest, RequestUsesAFreeTargetOfANeighborForItsGain) {
  DomainTable Domains;
  Domains.Domains[FailureDomain("east")].HeardAt = TimeSource.now();
  const auto Routing =
      std::make_shared<DomainRouting>(Dependencies, Domains, 2e-6);
  Dependencies.Domains = Routing.get();
  Dependencies.ProbesPerTargetPerSecond = 1000;
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Local = addTarget(answerWhole);
  Local.Load = "4,0,6,400";
  LoadReport Slow;
  Slow.InFlight = 4;
  Slow.Slots = 6;
  Slow.Slowdown = 4;
  CurrentState.recordLoad(TargetId("i-1"), Slow);
  FakeTarget &Remote = addTarget(answerWhole, "east");
  Routing->recordReport(ServiceName("stock"), FailureDomain("east"),
                        {{1, 1, 4, 0, 1, false}, TimeSource.now(), 1400us});
  Routing->update();
  begin("/x/1", "r-1");
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Remote.Runs, 1);
  EXPECT_EQ(ProcessMetrics.counter("requests_left_domain_total{service="
                                   "\"stock\",reason=\"gain\"}"),
            1U);
}

// Guards against refusing a request that another target can serve.
TEST_F(RequestExecutionTest, ShedRequestIsRetriedAtAnotherTarget) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Full = addTarget(answerShed);
  FakeTarget &Free = addTarget(answerWhole);
  preferFirstTarget();
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Full.Runs, 1);
  EXPECT_EQ(Free.Runs, 1);
}

// Guards against probes that fail at targets whose health path does not
// repeat the request id.
TEST_F(RequestExecutionTest, ProbeAnswersNeedNoRequestId) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Only = addTarget(answerWhole);
  Only.RepeatsProbeId = false;
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Only.Runs, 1);
}

// Guards against a late copy of the refusal of an earlier request that is
// taken as proof that this one has not run.
TEST_F(RequestExecutionTest, RefusalWithoutRequestIdProvesNothing) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Faulty = addTarget(answerShedWithoutId);
  FakeTarget &Free = addTarget(answerWhole);
  preferFirstTarget();
  begin();
  EXPECT_EQ(finish().result(), http::status::bad_gateway);
  EXPECT_EQ(Faulty.Runs, 1);
  EXPECT_EQ(Free.Runs, 0);
}

// Guards against a late copy of a refusal that is taken for the answer to the
// next attempt of the same request: the caller was told that a request had
// not run that did, or it ran twice.
TEST_F(RequestExecutionTest, LateCopyOfARefusalIsNotTheNextAttemptsAnswer) {
  configure(ExecutionSemantics::AtMostOnce);
  CopyingTarget Pausing(Loop, [](const HttpRequest &Request, int Number) {
    if (Number > 1)
      return signedAnswer(Request, "whole");
    HttpResponse Shed(http::status::service_unavailable, 11);
    Shed.set("Not-Executed", "1");
    Shed.set(http::field::retry_after, "0.1");
    return Shed;
  });
  registerTarget("i-1", Pausing.address());
  begin();
  const HttpResponse Response = finish();
  EXPECT_EQ(Response.result(), http::status::ok);
  EXPECT_EQ(Response.body(), "whole");
  EXPECT_EQ(Pausing.requests(), 2);
}

// Guards against a late copy of the answer to a request that is taken for the
// answer to another request of a caller that uses one id twice.
TEST_F(RequestExecutionTest, LateCopyIsNotTheAnswerToARequestWithTheSameId) {
  configure(ExecutionSemantics::AtMostOnce);
  CopyingTarget Only(Loop, [](const HttpRequest &Request, int Number) {
    return signedAnswer(Request, "run " + std::to_string(Number));
  });
  registerTarget("i-1", Only.address());
  for (int Number = 1; Number <= 3; ++Number) {
    Answer.reset();
    begin();
    EXPECT_EQ(finish().body(), "run " + std::to_string(Number));
  }
}

// Guards against the start of a copied refusal that is completed by the
// header of the next answer on the connection, so that this one seems to be a
// refusal.
TEST_F(RequestExecutionTest, CopyThatBreaksOffInItsHeaderProvesNothing) {
  configure(ExecutionSemantics::AtMostOnce);
  CopyingTarget Faulty(Loop, [](const HttpRequest &Request, int Number) {
    if (Number > 1)
      return signedAnswer(Request, "whole");
    HttpResponse Shed(http::status::service_unavailable, 11);
    Shed.set("Not-Executed", "1");
    Shed.set("X-Cause", "full");
    return Shed;
  });
  Faulty.cutCopiesBefore("ull");
  registerTarget("i-1", Faulty.address());
  begin("/x/1", "r-1");
  EXPECT_EQ(finish().result(), http::status::service_unavailable);
  Answer.reset();
  begin("/x/1", "r-2");
  EXPECT_EQ(finish().result(), http::status::bad_gateway);
  EXPECT_EQ(Faulty.requests(), 2);
}

// Guards against probes that run as requests at the new owner of an address,
// which belongs to a service with another health path, and against probing it
// for each request until the registration of the former owner is gone.
TEST_F(RequestExecutionTest, ProbesAreNotRunByTheNewOwnerOfAnAddress) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &NewOwner = addTarget(answerWhole);
  NewOwner.Id = "i-new";
  NewOwner.HealthPath = "/status";
  FakeTarget &Other = addTarget(answerWhole);
  Other.Id = "i-2";
  for (int Number = 1; Number <= 20; ++Number) {
    Answer.reset();
    begin("/x/1", "r-" + std::to_string(Number));
    EXPECT_EQ(finish().result(), http::status::ok);
  }
  EXPECT_EQ(NewOwner.Runs, 0);
  EXPECT_EQ(Other.Runs, 20);
  EXPECT_GT(NewOwner.Misdirected, 0);
  EXPECT_LT(NewOwner.Misdirected, 10);
  EXPECT_TRUE(CurrentState.targetStats(TargetId("i-1")).Outlier.Ejected);
  EXPECT_FALSE(CurrentState.targetStats(TargetId("i-2")).Outlier.Ejected);
}

// Guards against probes that run as requests while a target has another
// health path than the configuration of the host, as in a release that moves
// the path.
TEST_F(RequestExecutionTest, ProbesAreNotRunByATargetWithAnotherHealthPath) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Moved = addTarget(answerWhole);
  Moved.Id = "i-1";
  Moved.HealthPath = "/status";
  for (int Number = 1; Number <= 5; ++Number) {
    Answer.reset();
    begin("/x/1", "r-" + std::to_string(Number));
    EXPECT_EQ(finish().result(), http::status::ok);
  }
  EXPECT_EQ(Moved.Runs, 5);
}

// Guards against probes and requests to a target that has changed its service
// since it was selected: it would run the probe as a request.
TEST_F(RequestExecutionTest, TargetThatHasChangedItsServiceGetsNothing) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Changed = addTarget(answerWhole);
  const auto Selected =
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"));
  TargetRegistration Registered;
  Registered.Id = TargetId("i-1");
  Registered.Service = ServiceName("desk");
  Registered.Address = Changed.address();
  CurrentState.applyTargetChange({Registered.Id, Registered, {++Revision}},
                                 "test");
  bool IsDone = false;
  asio::co_spawn(
      Loop,
      [&]() -> Awaitable<void> {
        const auto Found =
            co_await Prober.run(Selected.Targets, ServiceName("stock"),
                                "/health", 1, TimeSource.now() + 1s);
        EXPECT_TRUE(Found.empty());
        const auto Connected = co_await Prober.connect(Selected.Targets.front(),
                                                       ServiceName("stock"));
        EXPECT_FALSE(Connected.has_value());
        IsDone = true;
      },
      asio::detached);
  while (!IsDone && Loop.run_one() > 0) {
  }
  EXPECT_EQ(Changed.Probes, 0);
}

// Guards against a probe of a path that is a guess: targets run it as a
// request.
TEST_F(RequestExecutionTest, ServiceWithoutAHealthPathIsNotProbed) {
  configure(ExecutionSemantics::AtMostOnce, 1s, "");
  FakeTarget &Only = addTarget(answerWhole);
  begin();
  EXPECT_EQ(finish().body(), "whole");
  EXPECT_EQ(Only.Probes, 0);
  EXPECT_EQ(Only.Runs, 1);
}

// Guards against a request that crashes one target after the other, as often
// as its caller sends it: each crash loses the other requests of the target.
TEST_F(RequestExecutionTest, RequestThatCrashesTargetsIsStopped) {
  configure(ExecutionSemantics::AtMostOnce);
  int Crashes = 0;
  const auto CrashOrAnswer = [&](std::size_t Index) -> FakeTarget::Behaviour {
    return [this, Index,
            &Crashes](const HttpRequest &Request) -> Awaitable<HttpResponse> {
      if (Request.target() == "/x/crash") {
        ++Crashes;
        Targets[Index]->end();
      }
      co_return signedAnswer(Request, "whole");
    };
  };
  for (std::size_t Index = 0; Index < 6; ++Index)
    addTarget(CrashOrAnswer(Index));
  for (int Copy = 1; Copy <= 5; ++Copy) {
    Answer.reset();
    begin("/x/crash", "r-" + std::to_string(Copy));
    const HttpResponse Response = finish();
    if (Copy <= 3) {
      EXPECT_EQ(Response.result(), http::status::bad_gateway);
    } else {
      EXPECT_EQ(Response.result(), http::status::service_unavailable);
      EXPECT_EQ(Response.body(), "{\"reason\":\"quarantined\"}");
      EXPECT_GT(std::stod(std::string(Response["Retry-After"])), 5);
    }
    Loop.run_for(600ms);
  }
  EXPECT_EQ(Crashes, 3);
  Answer.reset();
  begin("/x/other", "r-other");
  EXPECT_EQ(finish().body(), "whole");
}

// Guards against taking each lost connection for a crash of its target.
TEST_F(RequestExecutionTest, LostConnectionsOfLiveTargetsAreNoCrashes) {
  configure(ExecutionSemantics::AtMostOnce);
  CopyingTarget Dropping(Loop, {});
  Dropping.dropRequests();
  for (int Copy = 1; Copy <= 5; ++Copy) {
    const std::string Id = std::to_string(Copy);
    registerTarget("i-" + Id, Dropping.address());
    Answer.reset();
    begin("/x/1", "r-" + Id);
    EXPECT_EQ(finish().result(), http::status::bad_gateway);
    Loop.run_for(100ms);
  }
  EXPECT_FALSE(Quarantine->hasEvidence());
  EXPECT_EQ(ProcessMetrics.counter("target_end_checks_total{result=\"alive\"}"),
            5U);
}

// Guards against a second run of a request that must not run twice, and
// against the claim that a request has not run when it may have.
TEST_F(RequestExecutionTest, InvalidAnswerIsNotRetriedOnAnAtMostOnceRoute) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Faulty = addTarget(answerUnsigned);
  FakeTarget &Healthy = addTarget(answerWhole);
  preferFirstTarget();
  begin();
  EXPECT_EQ(finish().result(), http::status::bad_gateway);
  EXPECT_EQ(Faulty.Runs, 1);
  EXPECT_EQ(Healthy.Runs, 0);
}

TEST_F(RequestExecutionTest, InvalidAnswerOfAnIdempotentRequestIsRetried) {
  configure(ExecutionSemantics::Idempotent);
  addTarget(answerUnsigned);
  FakeTarget &Healthy = addTarget(answerWhole);
  preferFirstTarget();
  begin();
  EXPECT_EQ(finish().body(), "whole");
  EXPECT_EQ(Healthy.Runs, 1);
}

// Guards against the claim that a request has not run because its last
// attempt did not, although an earlier one may have.
TEST_F(RequestExecutionTest, NotRunIsOnlyReportedWhenNoAttemptMayHaveRun) {
  configure(ExecutionSemantics::Idempotent);
  addTarget(answerUnsigned);
  addTarget(answerShed);
  preferFirstTarget();
  begin();
  EXPECT_EQ(finish().result(), http::status::bad_gateway);
}

// Guards against keeping a caller waiting beyond the timeout of the route.
TEST_F(RequestExecutionTest, RouteTimeoutEndsTheRequest) {
  configure(ExecutionSemantics::AtMostOnce, 300ms);
  addTarget(answerLate);
  const TimePoint Begin = TimeSource.now();
  begin();
  EXPECT_EQ(finish().result(), http::status::gateway_timeout);
  EXPECT_LT(TimeSource.now() - Begin, 800ms);
}

// Guards against continuing an attempt for a caller that has disconnected.
TEST_F(RequestExecutionTest, CallerDisconnectEndsTheAttempt) {
  configure(ExecutionSemantics::Idempotent);
  FakeTarget &Slow = addTarget(answerLate);
  const auto Execution = begin();
  while (Slow.Runs == 0 && Loop.run_one() > 0) {
  }
  Execution->cancel();
  while (!Slow.HasCallerLeft && Loop.run_one() > 0) {
  }
  EXPECT_TRUE(Slow.HasCallerLeft);
  finish();
  EXPECT_EQ(Slow.Runs, 1);
}

// Guards against refusing requests while targets are idle because the probe
// rate limit is used up. A soak run had a tenth of its requests refused that
// way.
TEST_F(RequestExecutionTest, CachedLoadIsUsedWhenNoProbeMayBeSent) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Busy = addTarget(answerWhole);
  FakeTarget &Free = addTarget(answerWhole);
  Busy.Load = "6,3,6,100";
  LoadReport Idle;
  Idle.Slots = 6;
  Dependencies.ProbesPerTargetPerSecond = 0;
  // The target of the one probe that is always sent is random.
  constexpr int Rounds = 8;
  for (int Round = 0; Round < Rounds; ++Round) {
    CurrentState.targetStats(TargetId("i-1")).Load.reset();
    CurrentState.recordSharedLoad(TargetId("i-2"), Idle, TimeSource.now());
    Answer.reset();
    begin();
    EXPECT_EQ(finish().result(), http::status::ok);
  }
  EXPECT_EQ(Busy.Runs, 0);
  EXPECT_EQ(Free.Runs, Rounds);
}

// Guards against requests and probes to a target after an answer of any kind
// that says that the target leaves: one to the caller, a refusal, an invalid
// one, one that belongs to another request, and one that breaks off.
TEST_F(RequestExecutionTest, EachAnswerOfATargetMayTakeItOut) {
  const std::vector<FakeTarget::Behaviour> Behaviours{
      answerWhole, answerShed, answerUnsigned, answerOtherRequest,
      breakingOff(answerWhole)};
  for (const FakeTarget::Behaviour &Behaviour : Behaviours) {
    for (std::size_t Index = 1; Index <= Targets.size(); ++Index)
      CurrentState.recordLeaving({TargetId("i-" + std::to_string(Index)), 0},
                                 SignalSource::Host);
    configure(ExecutionSemantics::Idempotent, 400ms);
    FakeTarget &First = addTarget(leaving(Behaviour));
    const TargetId Id("i-" + std::to_string(Targets.size()));
    addTarget(answerWhole);
    CurrentState.recordFailure(TargetId("i-" + std::to_string(Targets.size())),
                               TargetFailure::Connection);
    Answer.reset();
    begin();
    finish();
    EXPECT_EQ(First.Runs, 1);
    const int Probes = First.Probes;
    for (int Round = 0; Round < 5; ++Round) {
      Answer.reset();
      begin();
      EXPECT_EQ(finish().result(), http::status::ok);
    }
    EXPECT_EQ(First.Runs, 1);
    EXPECT_EQ(First.Probes, Probes);
    EXPECT_FALSE(CurrentState.mayUse({Id, 0}));
  }
}

// Guards against a request to a target whose health path says that it leaves.
TEST_F(RequestExecutionTest, ProbeAnswerMayTakeATargetOut) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Leaving = addTarget(answerWhole);
  FakeTarget &Free = addTarget(answerWhole);
  Leaving.ChangeHealth = [](HttpResponse &Health) {
    Health.set("Server-Leaving", "1");
  };
  preferFirstTarget();
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Leaving.Runs, 0);
  EXPECT_EQ(Leaving.Probes, 1);
  EXPECT_EQ(Free.Runs, 1);
}

// Guards against ignoring the answer to a probe because its round has ended
// with the answer of another target.
TEST_F(RequestExecutionTest, LateProbeAnswerMayTakeATargetOut) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Late = addTarget(answerWhole);
  FakeTarget &Free = addTarget(answerWhole);
  Late.HealthDelay = 60ms;
  Late.ChangeHealth = [](HttpResponse &Health) {
    Health.result(http::status::service_unavailable);
    Health.set("Server-Leaving", "1");
  };
  while (Late.Probes == 0) {
    Answer.reset();
    begin();
    EXPECT_EQ(finish().result(), http::status::ok);
  }
  EXPECT_GT(Free.Runs, 0);
  const TimePoint Until = TimeSource.now() + 2s;
  while (CurrentState.mayUse({TargetId("i-1"), 0}) && TimeSource.now() < Until)
    Loop.run_one_for(5ms);
  EXPECT_FALSE(CurrentState.mayUse({TargetId("i-1"), 0}));
  EXPECT_EQ(Late.Runs, 0);
}

// Guards against a request to a target that another host reports as leaving
// while the target is probed.
TEST_F(RequestExecutionTest, TargetIsCheckedAgainBeforeTheRequestIsSent) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Leaving = addTarget(answerWhole);
  FakeTarget &Free = addTarget(answerWhole);
  Leaving.ChangeHealth = [this](HttpResponse &) {
    CurrentState.recordLeaving({TargetId("i-1"), 0}, SignalSource::Host);
  };
  preferFirstTarget();
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Leaving.Runs, 0);
  EXPECT_EQ(Free.Runs, 1);
}

// Guards against a probe to a target that turns out to leave at any moment
// before the probe is sent, for example while the connection is made.
TEST_F(RequestExecutionTest, TargetIsCheckedAgainBeforeTheProbeIsSent) {
  configure(ExecutionSemantics::AtMostOnce);
  for (int Steps = 0; Steps < 12; ++Steps) {
    FakeTarget &Leaving = addTarget(answerWhole);
    const TargetId Id("i-" + std::to_string(Targets.size()));
    const std::uint64_t Before = ProcessMetrics.counter("probes_total");
    Answer.reset();
    begin();
    for (int Step = 0; Step < Steps; ++Step)
      Loop.run_one();
    const bool IsProbed = ProcessMetrics.counter("probes_total") > Before;
    const bool IsSent = CurrentState.targetStats(Id).InFlight > 0;
    CurrentState.recordLeaving({Id, 0}, SignalSource::Host);
    finish();
    EXPECT_EQ(Leaving.Probes, IsProbed ? 1 : 0) << Steps;
    EXPECT_EQ(Leaving.Runs, IsSent ? 1 : 0) << Steps;
  }
}

// Guards against requests and probes to a target that has asked for a pause,
// and against taking the pause for a failure.
TEST_F(RequestExecutionTest, TargetThatAsksForAPauseGetsNothing) {
  configure(ExecutionSemantics::Idempotent);
  FakeTarget &Pausing = addTarget(answerPausing);
  addTarget(answerWhole);
  preferFirstTarget();
  for (int Round = 0; Round < 5; ++Round) {
    Answer.reset();
    begin();
    EXPECT_EQ(finish().result(), http::status::ok);
  }
  EXPECT_EQ(Pausing.Runs, 1);
  EXPECT_EQ(Pausing.Probes, 1);
  EXPECT_EQ(CurrentState.takeUnsharedOutcomes()[TargetId("i-1")].Failures, 0U);
}

// Guards against the loss of a pause because the body of its answer breaks
// off.
TEST_F(RequestExecutionTest, PauseInAnAnswerThatBreaksOffCounts) {
  configure(ExecutionSemantics::Idempotent, 200ms);
  FakeTarget &Pausing = addTarget(breakingOff(answerPausing));
  FakeTarget &PausingProbes = addTarget(answerWhole);
  PausingProbes.ChangeHealth = [](HttpResponse &Health) {
    Health.result(http::status::service_unavailable);
    Health.set(http::field::retry_after, "60");
    Health.content_length(100);
  };
  while (Pausing.Runs == 0 || PausingProbes.Probes == 0) {
    Answer.reset();
    begin();
    finish();
  }
  Loop.restart();
  Loop.run_for(500ms);
  EXPECT_FALSE(CurrentState.mayUse({TargetId("i-1"), 0}));
  EXPECT_FALSE(CurrentState.mayUse({TargetId("i-2"), 0}));
}

// Guards against requests to a target whose health path asks for a pause.
TEST_F(RequestExecutionTest, ProbeAnswerMayAskForAPause) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Pausing = addTarget(answerWhole);
  FakeTarget &Free = addTarget(answerWhole);
  Pausing.ChangeHealth = [](HttpResponse &Health) {
    Health.result(http::status::service_unavailable);
    Health.set(http::field::retry_after, "60");
  };
  preferFirstTarget();
  for (int Round = 0; Round < 5; ++Round) {
    Answer.reset();
    begin();
    EXPECT_EQ(finish().result(), http::status::ok);
  }
  EXPECT_EQ(Pausing.Runs, 0);
  EXPECT_EQ(Pausing.Probes, 1);
  EXPECT_EQ(Free.Runs, 5);
}

// Guards against refusing a request that can still be answered in time after
// the pause of the only target.
TEST_F(RequestExecutionTest, RequestWaitsForTheEndOfAShortPause) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Only = addTarget(answerWhole);
  TargetSignals Pausing;
  Pausing.Pause = 150ms;
  CurrentState.recordSignals({TargetId("i-1"), 0}, Only.address(), Pausing,
                             SignalSource::Answer);
  const TimePoint PauseEnd = TimeSource.now() + 140ms;
  begin();
  while (Only.Probes == 0 && !Answer && Loop.run_one() > 0) {
  }
  EXPECT_GE(TimeSource.now(), PauseEnd);
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Only.Runs, 1);
}

// Guards against keeping a request whose target has turned it away for a
// pause from that target after the pause.
TEST_F(RequestExecutionTest, RequestThatWasTurnedAwayIsSentAgainAfterThePause) {
  configure(ExecutionSemantics::AtMostOnce);
  int Requests = 0;
  FakeTarget &Only = addTarget(
      [&Requests](const HttpRequest &Request) -> Awaitable<HttpResponse> {
        HttpResponse Made = signedAnswer(Request, "whole");
        if (++Requests == 1) {
          Made = co_await answerShed(Request);
          Made.set(http::field::retry_after, "0.1");
        }
        co_return Made;
      });
  const TimePoint Begin = TimeSource.now();
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Only.Runs, 2);
  EXPECT_GE(TimeSource.now() - Begin, 100ms);
}

// Guards against holding a request that cannot be answered in its time, and
// against callers that come back before a target may be used.
TEST_F(RequestExecutionTest, LongPauseOfAllTargetsIsRefusedAtOnce) {
  configure(ExecutionSemantics::AtMostOnce);
  for (int Count = 0; Count < 2; ++Count)
    addTarget(answerPausing);
  for (int Index = 1; Index <= 2; ++Index) {
    TargetSignals Pausing;
    Pausing.Pause = std::chrono::seconds(4 * Index);
    CurrentState.recordSignals({TargetId("i-" + std::to_string(Index)), 0},
                               Targets[0]->address(), Pausing,
                               SignalSource::Answer);
  }
  const TimePoint Begin = TimeSource.now();
  begin();
  const HttpResponse Response = finish();
  EXPECT_EQ(Response.result(), http::status::service_unavailable);
  EXPECT_EQ(Response.body(), R"({"reason":"paused"})");
  const double Seconds =
      std::stod(std::string(Response[http::field::retry_after]));
  EXPECT_GT(Seconds, 3.8);
  EXPECT_LT(Seconds, 5.2);
  EXPECT_LT(TimeSource.now() - Begin, 100ms);
  EXPECT_EQ(Targets[0]->Probes + Targets[1]->Probes, 0);
}

// Guards against callers that come back in the pauses of all targets because
// the last attempt was turned away.
TEST_F(RequestExecutionTest, RetryAfterHeedsThePauseOfTheLastAttempt) {
  configure(ExecutionSemantics::AtMostOnce);
  for (int Count = 0; Count < 2; ++Count)
    addTarget([](const HttpRequest &Request) -> Awaitable<HttpResponse> {
      HttpResponse Made = co_await answerShed(Request);
      Made.set(http::field::retry_after, "60");
      co_return Made;
    });
  begin();
  const HttpResponse Response = finish();
  EXPECT_EQ(Targets[0]->Runs + Targets[1]->Runs, 2);
  EXPECT_EQ(Response.body(), R"({"reason":"paused"})");
  EXPECT_GT(std::stod(std::string(Response[http::field::retry_after])), 59);
}

// Guards against callers that stay away for the pause of one target although
// another one has only turned their request away.
TEST_F(RequestExecutionTest, RetryAfterHeedsTargetsThatAreNotPaused) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Shedding = addTarget(answerShed);
  FakeTarget &Paused = addTarget(answerWhole);
  TargetSignals Pausing;
  Pausing.Pause = 60s;
  CurrentState.recordSignals({TargetId("i-2"), 0}, Paused.address(), Pausing,
                             SignalSource::Answer);
  begin();
  const HttpResponse Response = finish();
  EXPECT_EQ(Response.result(), http::status::service_unavailable);
  EXPECT_EQ(Response.body(), R"({"reason":"no_target"})");
  EXPECT_EQ(Shedding.Runs, 1);
  EXPECT_EQ(Paused.Runs + Paused.Probes, 0);
  EXPECT_LT(std::stod(std::string(Response[http::field::retry_after])), 1);
}

// Guards against refused callers that come back as the crowd that they were,
// or after a time that they do not honour: a third of the time limit of a
// second.
TEST_F(RequestExecutionTest, RefusedCallersComeBackOneAfterAnother) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Full = addTarget(answerWhole);
  Full.Load = "6,0,6,100";
  std::vector<double> Delays;
  std::vector<TimePoint> ReturnTimes;
  std::optional<TimePoint> FirstRefusedAt;
  for (int Count = 0; Count < 4; ++Count) {
    auto Execution = make("/x/1", "r-" + std::to_string(Count));
    asio::co_spawn(
        Loop,
        [this, Execution, &Delays, &ReturnTimes,
         &FirstRefusedAt]() -> Awaitable<void> {
          const HttpResponse Response = co_await Execution->run();
          EXPECT_EQ(Response.body(), R"({"reason":"overloaded"})");
          Delays.push_back(
              std::stod(std::string(Response[http::field::retry_after])));
          FirstRefusedAt = FirstRefusedAt.value_or(TimeSource.now());
          ReturnTimes.push_back(
              TimeSource.now() +
              std::chrono::duration_cast<Duration>(Delays.back() * 1s));
        },
        asio::detached);
  }
  while (Delays.size() < 4 && Loop.run_one() > 0) {
  }
  EXPECT_EQ(Full.Runs, 0);
  for (const double Delay : Delays) {
    EXPECT_GE(Delay, 0.1);
    EXPECT_LE(Delay, 0.333);
  }
  // The first one comes back within two work times, the second one after
  // them. The header is rounded to milliseconds.
  EXPECT_GT(ReturnTimes[1], ReturnTimes[0] - 2ms);
  EXPECT_GT(ReturnTimes[1] - FirstRefusedAt.value(), 195ms);
}

// Guards against holding a request for a pause while another target is free.
TEST_F(RequestExecutionTest, HeldRequestUsesATargetThatRegisters) {
  configure(ExecutionSemantics::AtMostOnce, 3s);
  FakeTarget &Paused = addTarget(answerWhole);
  TargetSignals Pausing;
  Pausing.Pause = 2s;
  CurrentState.recordSignals({TargetId("i-1"), 0}, Paused.address(), Pausing,
                             SignalSource::Answer);
  const TimePoint Begin = TimeSource.now();
  begin();
  while (ProcessMetrics.counter("requests_held_for_pause_total") == 0 &&
         !Answer && Loop.run_one() > 0) {
  }
  FakeTarget &Free = addTarget(answerWhole);
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_LT(TimeSource.now() - Begin, 1s);
  EXPECT_EQ(Paused.Probes + Paused.Runs, 0);
  EXPECT_EQ(Free.Runs, 1);
}

// Guards against refusing a held request because its target, which resumes,
// has as many requests in flight as it may have.
TEST_F(RequestExecutionTest, HeldRequestWaitsForRoomAtAResumingTarget) {
  configure(ExecutionSemantics::AtMostOnce, 2s);
  FakeTarget &Only = addTarget(answerWhole);
  const TargetProcess Process{TargetId("i-1"), 0};
  TargetSignals Pausing;
  Pausing.Pause = 700ms;
  CurrentState.beginAttempt(Process);
  CurrentState.recordSignals(Process, Only.address(), Pausing,
                             SignalSource::Answer);
  Timer RoomTimer(Loop.get_executor());
  RoomTimer.expires_after(1200ms);
  RoomTimer.async_wait(
      [&](const auto &...) { CurrentState.endAttempt(Process); });
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
}

// Guards against holding a request beyond its objective because the time that
// it has already spent is not counted.
TEST_F(RequestExecutionTest, TimeBeforeThePauseCountsForTheObjective) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Only =
      addTarget([](const HttpRequest &Request) -> Awaitable<HttpResponse> {
        Timer Delay(co_await asio::this_coro::executor);
        Delay.expires_after(250ms);
        co_await Delay.async_wait(UseTuple);
        HttpResponse Made = co_await answerShed(Request);
        Made.set(http::field::retry_after, "0.15");
        co_return Made;
      });
  begin();
  EXPECT_EQ(finish().result(), http::status::service_unavailable);
  EXPECT_EQ(Only.Runs, 1);
  EXPECT_EQ(ProcessMetrics.counter("requests_held_for_pause_total"), 0U);
}

// Guards against a second attempt at a target whose pause is ignored.
TEST_F(RequestExecutionTest, TargetIsTriedAgainOnlyAfterAPause) {
  configure(ExecutionSemantics::Idempotent);
  CurrentState.setPausePolicy({0s});
  FakeTarget &Only = addTarget(answerPausing);
  begin();
  finish();
  EXPECT_EQ(Only.Runs, 1);
}

// Guards against a target that stays at one request at a time after a pause,
// and against a limit that answers to earlier requests raise.
TEST_F(RequestExecutionTest, AnswersAfterThePauseRaiseTheLimit) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Only =
      addTarget([](const HttpRequest &Request) -> Awaitable<HttpResponse> {
        Timer Delay(co_await asio::this_coro::executor);
        Delay.expires_after(150ms);
        co_await Delay.async_wait(UseTuple);
        co_return signedAnswer(Request, "whole");
      });
  const TargetProcess Process{TargetId("i-1"), 0};
  begin();
  while (Only.Runs == 0 && !Answer && Loop.run_one() > 0) {
  }
  TargetSignals Pausing;
  Pausing.Pause = 20ms;
  CurrentState.recordSignals(Process, Only.address(), Pausing,
                             SignalSource::Answer);
  for (const bool IsRaised : {false, true}) {
    EXPECT_EQ(finish().result(), http::status::ok);
    CurrentState.beginAttempt(Process);
    EXPECT_EQ(CurrentState.admitsAttempt(Process), IsRaised);
    CurrentState.endAttempt(Process);
    Answer.reset();
    begin();
  }
  finish();
}

// Guards against probes above the rate limit when targets turn out to leave.
TEST_F(RequestExecutionTest, RepeatedSelectionDoesNotProbeOnCredit) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Leaving = addTarget(answerWhole);
  FakeTarget &Other = addTarget(answerWhole);
  Leaving.ChangeHealth = [](HttpResponse &Health) {
    Health.set("Server-Leaving", "1");
  };
  preferFirstTarget();
  Dependencies.ProbesPerTargetPerSecond = 0;
  begin();
  finish();
  EXPECT_EQ(Leaving.Probes, 1);
  EXPECT_EQ(Other.Probes, 0);
}

// Guards against keeping a request of a caller that has disconnected until
// the pause ends.
TEST_F(RequestExecutionTest, CallerDisconnectEndsTheWaitForAPause) {
  configure(ExecutionSemantics::AtMostOnce, 3s);
  FakeTarget &Only = addTarget(answerWhole);
  TargetSignals Pausing;
  Pausing.Pause = 2s;
  CurrentState.recordSignals({TargetId("i-1"), 0}, Only.address(), Pausing,
                             SignalSource::Answer);
  const TimePoint Begin = TimeSource.now();
  const auto Execution = begin();
  while (ProcessMetrics.counter("requests_held_for_pause_total") == 0 &&
         !Answer && Loop.run_one() > 0) {
  }
  EXPECT_FALSE(Answer);
  Execution->cancel();
  finish();
  EXPECT_LT(TimeSource.now() - Begin, 500ms);
  EXPECT_EQ(Only.Probes + Only.Runs, 0);
}

// Guards against reporting an unknown route before any configuration is
// known. Guards against a request that a draining host passes on although it
// cannot wait for the answer, and against refusing one whose answer it can
// wait for.
TEST_F(RequestExecutionTest, DrainingHostBeginsNoLateAttempt) {
  configure(ExecutionSemantics::AtMostOnce);
  FakeTarget &Only = addTarget(answerWhole);
  Dependencies.Drain = drainSchedule(TimeSource.now(), 200ms);
  begin();
  const HttpResponse Refused = finish();
  EXPECT_EQ(Refused.result(), http::status::service_unavailable);
  EXPECT_NE(Refused.body().find("draining"), std::string::npos);
  EXPECT_EQ(Only.Runs, 0);
  EXPECT_EQ(Only.Probes, 0);

  Dependencies.Drain = drainSchedule(TimeSource.now(), 10s);
  Answer.reset();
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
}

// Guards against another attempt that begins late in a drain, and against a
// refusal as not run although the first attempt may have run.
TEST_F(RequestExecutionTest, DrainingHostBeginsNoLateRetry) {
  const auto Draining = [this](FakeTarget::Behaviour Made) {
    return [this, Made = std::move(Made)](
               const HttpRequest &Request) -> Awaitable<HttpResponse> {
      Dependencies.Drain = drainSchedule(TimeSource.now(), 200ms);
      co_return co_await Made(Request);
    };
  };
  configure(ExecutionSemantics::Idempotent);
  FakeTarget &Full = addTarget(Draining(answerShed));
  FakeTarget &Free = addTarget(answerWhole);
  preferFirstTarget();
  begin();
  EXPECT_EQ(finish().result(), http::status::service_unavailable);
  EXPECT_EQ(Full.Runs, 1);
  EXPECT_EQ(Free.Runs, 0);

  Dependencies.Drain.reset();
  Answer.reset();
  CurrentState.applyTargetChange({TargetId("i-1"), std::nullopt, {++Revision}},
                                 "test");
  FakeTarget &Faulty = addTarget(Draining(answerUnsigned));
  CurrentState.recordFailure(TargetId("i-2"), TargetFailure::Connection);
  begin();
  EXPECT_EQ(finish().result(), http::status::bad_gateway);
  EXPECT_EQ(Faulty.Runs, 1);
  EXPECT_EQ(Free.Runs, 0);
}

// Guards against a request that is held for a pause until the host has no
// time left for it.
TEST_F(RequestExecutionTest, HeldRequestIsRefusedWhenTheHostDrains) {
  configure(ExecutionSemantics::AtMostOnce, 3s);
  FakeTarget &Only = addTarget(answerWhole);
  Only.ChangeHealth = [](HttpResponse &Health) {
    Health.result(http::status::service_unavailable);
    Health.set(http::field::retry_after, "1");
  };
  const TimePoint Begin = TimeSource.now();
  begin();
  Timer Waiting(Loop.get_executor());
  Waiting.expires_after(100ms);
  Waiting.async_wait([&](const boost::system::error_code &) {
    EXPECT_FALSE(Answer);
    Dependencies.Drain = drainSchedule(TimeSource.now(), 200ms);
  });
  const HttpResponse Refused = finish();
  EXPECT_EQ(Refused.result(), http::status::service_unavailable);
  EXPECT_LT(TimeSource.now() - Begin, 800ms);
  EXPECT_EQ(Only.Runs, 0);
}

// Guards against targets whose answers never end and that use up the memory
// of the host together: it would end, with the requests of all callers.
TEST_F(RequestExecutionTest, EndlessAnswersLeaveMemoryForOthers) {
  configure(ExecutionSemantics::AtMostOnce, 3s);
  EndlessTarget Faulty(Loop);
  registerTarget("i-0", Faulty.address());
  constexpr int Count = 12;
  int Ended = 0;
  for (int Number = 0; Number < Count; ++Number) {
    const auto Execution =
        make("/x/" + std::to_string(Number), "r-" + std::to_string(Number));
    asio::co_spawn(
        Loop,
        [&, Execution]() -> Awaitable<void> {
          const HttpResponse Response = co_await Execution->run();
          // It may have run, whatever has ended the attempt.
          EXPECT_EQ(Response.result(), http::status::bad_gateway);
          ++Ended;
        },
        asio::detached);
  }
  std::uint64_t Peak = 0;
  while (Ended < Count && Loop.run_one() > 0)
    Peak = std::max(Peak, Messages.usedBytes());
  EXPECT_GT(Peak, MessageBytesMaximum / 2);
  EXPECT_LE(Peak, MessageBytesMaximum);
  EXPECT_GT(Messages.droppedResponses(), 0U);

  FakeTarget &Sound = addTarget(answerWhole);
  CurrentState.applyTargetChange({TargetId("i-0"), std::nullopt, {++Revision}},
                                 "test");
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Sound.Runs, 1);
}

// Guards against a body that is lost, or changed, when the request is sent to
// another target.
TEST_F(RequestExecutionTest, BodyIsSentAgainWithTheNextAttempt) {
  configure(ExecutionSemantics::AtMostOnce);
  std::vector<std::string> Bodies;
  const auto Recording = [&Bodies](FakeTarget::Behaviour Answer) {
    return [&Bodies, Answer = std::move(Answer)](
               const HttpRequest &Request) -> Awaitable<HttpResponse> {
      Bodies.push_back(Request.body());
      co_return co_await Answer(Request);
    };
  };
  addTarget(Recording(answerShed));
  addTarget(Recording(answerWhole));
  preferFirstTarget();
  const std::string Body(100'000, 'b');
  begin("/x/1", "r-1", Body);
  EXPECT_EQ(finish().result(), http::status::ok);
  EXPECT_EQ(Bodies, (std::vector<std::string>{Body, Body}));
}

TEST_F(RequestExecutionTest, UnknownRoutesAndMissingConfigurationDiffer) {
  begin();
  EXPECT_EQ(finish().result(), http::status::service_unavailable);
  Answer.reset();
  configure(ExecutionSemantics::Idempotent);
  begin("/y/1");
  EXPECT_EQ(finish().result(), http::status::not_found);
}

// Guards against requests that wait although no target exists.
TEST_F(RequestExecutionTest, ServiceWithoutTargetsIsRefusedAtOnce) {
  configure(ExecutionSemantics::Idempotent);
  const TimePoint Begin = TimeSource.now();
  begin();
  const HttpResponse Response = finish();
  EXPECT_EQ(Response.result(), http::status::service_unavailable);
  EXPECT_GT(Response.count(http::field::retry_after), 0U);
  EXPECT_LT(TimeSource.now() - Begin, 100ms);
}

// Guards against a request beyond what the cold targets bear that is sent or
// held, and against a caller that is told to come back at once.
TEST_F(RequestExecutionTest, ColdServiceRefusesAtOnceWhatItDoesNotBear) {
  configureColdLimit();
  FakeTarget &Cold = addTarget(answerWhole);
  CurrentState.recordCold({TargetId("i-1"), 0}, 1min, SignalSource::Probe);
  const TimePoint Begin = TimeSource.now();
  begin();
  const HttpResponse Response = finish();
  EXPECT_LT(TimeSource.now() - Begin, 300ms);
  EXPECT_EQ(Response.result(), http::status::service_unavailable);
  EXPECT_EQ(Response.body(), R"({"reason":"cold"})");
  const double RetryAfter = std::stod(std::string(Response["Retry-After"]));
  EXPECT_GE(RetryAfter, 0.9);
  EXPECT_LE(RetryAfter, 4);
  EXPECT_EQ(Cold.Runs + Cold.Probes, 0);
}

// Guards against a relayed request that is sent to more targets than it may.
TEST_F(RequestExecutionTest, RelayedRequestKeepsToTheAttemptsThatAreLeft) {
  configure(ExecutionSemantics::Idempotent);
  FakeTarget &First = addTarget(answerShed);
  FakeTarget &Second = addTarget(answerShed);
  EXPECT_EQ(sendRelayed("1").result(), http::status::service_unavailable);
  EXPECT_EQ(First.Runs + Second.Runs, 1);
}

// Guards against a cut-off host that holds a relayed request, or lets the host
// that has relayed it take the refusal for one of the whole fleet.
TEST_F(RequestExecutionTest, CutOffHostRefusesRelayedRequestsAtOnce) {
  configure(ExecutionSemantics::Idempotent);
  FakeTarget &First = addTarget(answerWhole);
  FakeTarget &Second = addTarget(answerWhole);
  for (const char *Id : {"i-1", "i-2"})
    CurrentState.reachability().recordConnectionFailure(TargetId(Id),
                                                        TimeSource.now());
  const TimePoint Begin = TimeSource.now();
  const HttpResponse Refused = sendRelayed("2");
  EXPECT_LT(TimeSource.now() - Begin, 100ms);
  EXPECT_EQ(Refused.result(), http::status::service_unavailable);
  EXPECT_EQ(Refused.body(), R"({"reason":"cut_off"})");
  EXPECT_EQ(Refused["Comfreyrill-Relay-Refused"], "1");
  EXPECT_FALSE(Refused[http::field::retry_after].empty());
  EXPECT_EQ(First.Runs + Second.Runs + First.Probes + Second.Probes, 0);
}

// Guards against requests beyond the limit that an answer has named.
TEST_F(RequestExecutionTest, LimitedServiceRefusesAtOnceWhatItDoesNotTake) {
  configure(ExecutionSemantics::Idempotent);
  FakeTarget &Limited =
      addTarget([](const HttpRequest &Request) -> Awaitable<HttpResponse> {
        HttpResponse Made = signedAnswer(Request, "whole");
        Made.set("Server-Limit", "1");
        co_return Made;
      });
  begin();
  EXPECT_EQ(finish().result(), http::status::ok);
  Answer.reset();
  const TimePoint Begin = TimeSource.now();
  begin("/x/1", "r-2");
  const HttpResponse Refused = finish();
  EXPECT_EQ(Refused.result(), http::status::service_unavailable);
  EXPECT_EQ(Refused.body(), R"({"reason":"rate_limited"})");
  EXPECT_FALSE(Refused[http::field::retry_after].empty());
  EXPECT_LT(TimeSource.now() - Begin, 100ms);
  EXPECT_EQ(Limited.Runs, 1);
}

// Guards against a request to a target that says in its answer to the probe
// that it is cold, and of which this host may send nothing.
TEST_F(RequestExecutionTest, ProbeTellsThatTheTargetIsCold) {
  configureColdLimit();
  FakeTarget &Cold = addTarget(answerWhole);
  Cold.ChangeHealth = [](HttpResponse &Health) {
    Health.set("Cold-Remaining", "12500");
  };
  begin();
  EXPECT_EQ(finish().body(), R"({"reason":"cold"})");
  EXPECT_EQ(Cold.Runs, 0);
  EXPECT_EQ(Cold.Probes, 1);
}

// Guards against a target that stays out of use long after it has become warm.
TEST_F(RequestExecutionTest, TargetIsUsedAfterTheColdTimeOfItsProbe) {
  configureColdLimit();
  FakeTarget &Cold = addTarget(answerWhole);
  Cold.ChangeHealth = [](HttpResponse &Health) {
    Health.set("Cold-Remaining", "300");
  };
  begin();
  EXPECT_EQ(finish().body(), R"({"reason":"cold"})");
  Cold.ChangeHealth = nullptr;
  Loop.run_for(400ms);
  Answer.reset();
  begin("/x/1", "r-2");
  EXPECT_EQ(finish().result(), http::status::ok);
}

// Guards against an explanation that passes over the target of the next
// request, and against one that names all targets.
TEST_F(RequestExecutionTest, ExplanationNamesTheTargetOfTheNextRequest) {
  configure(ExecutionSemantics::Idempotent);
  for (int Count = 0; Count < 20; ++Count)
    addTarget(answerWhole, Count < 12 ? "west" : "east");
  RequestExplainer Explainer(Dependencies, nullptr, HostId("h"), Random(7));
  ExplainedRequest Next;
  Next.Host = "a.example";
  Next.Path = "/x/1";
  int Named = 0;
  std::size_t Reported = 0;
  for (int Count = 0; Count < 100; ++Count) {
    const Explanation Explained = Explainer.explain(Next);
    ASSERT_TRUE(Explained.Selection);
    const auto &Probed = Explained.Selection->ProbedFirst;
    Reported += Probed.size();
    std::vector<int> Before;
    for (const auto &Target : Targets)
      Before.push_back(Target->Runs);
    Answer.reset();
    begin("/x/1", "r-" + std::to_string(Count));
    EXPECT_EQ(finish().result(), http::status::ok);
    for (std::size_t Index = 0; Index < Targets.size(); ++Index)
      Named += Targets[Index]->Runs > Before[Index] &&
                       std::any_of(Probed.begin(), Probed.end(),
                                   [&](const TargetShare &Entry) {
                                     return Entry.Id ==
                                            TargetId("i-" +
                                                     std::to_string(Index + 1));
                                   })
                   ? 1
                   : 0;
  }
  EXPECT_GE(Named, 95);
  EXPECT_LT(Reported, 100 * Targets.size() * 3 / 4);
}

} // namespace
} // namespace comfreyrill
