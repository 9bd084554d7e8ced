#include "MeshHost.h"

#include <ExplanationCodec.h>
#include <RequestExplainer.h>

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>
#include <set>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

const ServiceName Stock("stock");

class RequestExplainerTest : public testing::Test {
protected:
  RequestExplainerTest() {
    Host.Generator.seed(20261206);
    Dependencies.BudgetHostCount = [] { return std::size_t{1}; };
    Request.Method = "GET";
    Request.Host = "a.example";
    Request.Path = "/x/1";
    Request.Key = "key-of-alder";
  }

  void configure() {
    Configuration Made;
    Made.Version = {3};
    Route Only;
    Only.Name = "only";
    Only.Host = "a.example";
    Only.PathPrefix = "/x/";
    Only.Timeout = 1s;
    Only.LatencyObjective = 400ms;
    Only.Services = {{Stock, 1}};
    Made.Routes = {Only};
    Made.Services = {{Stock, "/health", 10, 0s, 6}};
    Made.Accounts = {{AccountName("alder"), std::nullopt, 100, 10}};
    EXPECT_TRUE(addKey(Made.Keys, "key-of-alder", 0));
    CurrentState.applyConfiguration(std::move(Made), "", "test");
  }

  void add(const std::string &Id, const std::string &Domain = "west") {
    TargetRegistration Made;
    Made.Id = TargetId(Id);
    Made.Service = Stock;
    Made.Address = {"10.0.0.1", 8080};
    Made.Domain = FailureDomain(Domain);
    Made.Slots = 6;
    CurrentState.applyTargetChange({Made.Id, Made, {++Revision}}, "test");
    CurrentState.recordLoad(Made.Id, {0, 6});
  }

  /// One target for each reason; "sound" and "ejected" are candidates.
  void addAllKinds() {
    configure();
    for (const char *Id : {"sound", "ejected", "leaving", "paused", "cold"})
      add(Id);
    add("evacuated", "east");
    CurrentState.recordFailure(TargetId("ejected"), TargetFailure::Connection);
    CurrentState.recordLeaving({TargetId("leaving"), 0}, SignalSource::Probe);
    TargetSignals Pausing;
    Pausing.Pause = 30s;
    CurrentState.recordSignals({TargetId("paused"), 0}, {"10.0.0.1", 8080},
                               Pausing, SignalSource::Probe);
    CurrentState.recordCold({TargetId("cold"), 0}, 1min, SignalSource::Probe);
    CurrentState.updateHosts({HostId("h"), FailureDomain("west"), {}}, 1);
    CurrentState.applyEvacuationReport({{1}, {FailureDomain("east")}}, "test");
  }

  const TargetExplanation &target(const std::string &Id) {
    return *std::find_if(
        Result.Targets.begin(), Result.Targets.end(),
        [&](const auto &Entry) { return Entry.Id == TargetId(Id); });
  }

  void explain() {
    RequestExplainer Explainer(Dependencies, Quotas, HostId("h"), Random(7));
    Result = Explainer.explain(Request);
  }

  asio::io_context Loop{1};
  ManualClock TimeSource;
  MeshHost Host{Loop, TimeSource, "west"};
  GatewayState &CurrentState = Host.CurrentState;
  GatewayDependencies &Dependencies = Host.Dependencies;
  const AllotmentExchange *Quotas = nullptr;
  ExplainedRequest Request;
  std::uint64_t Revision = 0;
  Explanation Result;
};

// Guards against an explanation that promises a target while the host still
// refuses all requests after its start.
TEST_F(RequestExplainerTest, HostThatAwaitsEvacuationsRefuses) {
  CurrentState.setHasEvacuations(true);
  configure();
  add("sound");
  explain();
  ASSERT_TRUE(Result.Refusal);
  EXPECT_EQ(Result.Refusal->Reason, "evacuations_unknown");
  EXPECT_FALSE(Result.Selection);
}

// Guards against a target that is reported with another use than the real
// selection makes of it.
TEST_F(RequestExplainerTest, EachTargetHasTheReasonOfTheSelection) {
  addAllKinds();
  explain();
  EXPECT_EQ(target("sound").Exclusion, TargetExclusion::None);
  EXPECT_EQ(target("sound").LatencyFactor, 1);
  EXPECT_TRUE(target("ejected").IsSuspect);
  EXPECT_EQ(target("leaving").Exclusion, TargetExclusion::Leaving);
  EXPECT_EQ(target("paused").Exclusion, TargetExclusion::Paused);
  EXPECT_EQ(target("paused").ExcludedFor, 30s);
  EXPECT_EQ(target("cold").Exclusion, TargetExclusion::Cold);
  EXPECT_EQ(target("evacuated").Exclusion, TargetExclusion::Evacuated);
  std::set<TargetId> Usable;
  for (const TargetExplanation &Entry : Result.Targets)
    if (Entry.Exclusion == TargetExclusion::None)
      Usable.insert(Entry.Id);
  std::set<TargetId> Listed;
  for (const TargetCandidate &Entry :
       CurrentState.candidates(Stock, FailureDomain("west")).Targets)
    Listed.insert(Entry.Id);
  EXPECT_EQ(Usable, Listed);
  ASSERT_TRUE(Result.Selection);
  EXPECT_EQ(Result.Selection->Result, ExplainedResult::Send);
  EXPECT_EQ(Result.Selection->Selected.front().Id, TargetId("sound"));
}

// Guards against an ejection that ends, a first listing, a use of a cold target
// or a random number that is drawn because of an explanation.
TEST_F(RequestExplainerTest, ExplainingChangesNothing) {
  addAllKinds();
  TimeSource.advance(30s);
  CurrentState.updateHosts({HostId("h"), FailureDomain("west"), {}}, 1);
  const Random Before = Host.Generator;
  explain();
  explain();
  EXPECT_EQ(Host.Generator, Before);
  EXPECT_EQ(CurrentState.findServiceStats(Stock), nullptr);
  EXPECT_TRUE(CurrentState.coldTargets().Targets.empty());
  EXPECT_EQ(Host.Bucket.RefilledAt, TimePoint{});
  for (const char *Id : {"sound", "ejected"}) {
    const TargetStats &Stats = *CurrentState.findTargetStats(TargetId(Id));
    EXPECT_FALSE(Stats.FirstListedAt || Stats.Preference) << Id;
  }
  EXPECT_TRUE(
      CurrentState.findTargetStats(TargetId("ejected"))->Outlier.Ejected);
  EXPECT_FALSE(target("ejected").IsEjected);
  EXPECT_EQ(target("cold").Exclusion, TargetExclusion::Cold);
  EXPECT_EQ(Host.ProcessMetrics.text(), GatewayMetrics().text());
}

// Guards against an excluded domain without its reason, and against a request
// that counts as received by the routing between domains.
TEST_F(RequestExplainerTest, OtherDomainIsLeftOutWithItsReason) {
  configure();
  add("near");
  add("far", "east");
  DomainTable Domains;
  const auto Routing =
      std::make_shared<DomainRouting>(Dependencies, Domains, 2e-6);
  Dependencies.Domains = Routing.get();
  explain();
  EXPECT_EQ(target("near").Exclusion, TargetExclusion::None);
  EXPECT_EQ(target("far").Exclusion, TargetExclusion::OtherDomain);
  EXPECT_EQ(target("far").DomainReason, "own_domain_has_room");
  EXPECT_EQ(Routing->state(Stock), nullptr);
}

// Guards against a token that is spent by an explanation, and against a used-up
// allotment that is reported as available.
TEST_F(RequestExplainerTest, UsedUpAllotmentIsRefused) {
  configure();
  add("sound");
  HostDescription Self;
  Self.Host = HostId("h");
  const MemberTable Members =
      makeMemberTable(Self, {}, MembershipSettings{}, TimeSource.now());
  const DomainTable Domains;
  PeerMesh Mesh(Loop.get_executor(), TimeSource, PeerMeshLimits{}, Random(1));
  const auto Exchange =
      std::make_shared<AllotmentExchange>(Dependencies, Members, Domains, Mesh);
  Quotas = Exchange.get();
  for (int Count = 0; Count < 3; ++Count) {
    explain();
    ASSERT_TRUE(Result.Token);
    EXPECT_EQ(Result.Token->Decision.Step, TokenStep::Taken);
  }
  // A host that has just started has one token.
  asio::co_spawn(
      Loop,
      [&]() -> Awaitable<void> {
        co_await Exchange->acquire(*Result.Arrival.Account);
      },
      asio::detached);
  Loop.run();
  explain();
  ASSERT_TRUE(Result.Refusal);
  EXPECT_EQ(Result.Refusal->Status, 429U);
  EXPECT_EQ(Result.Refusal->Reason, "allotment_used_up");
  EXPECT_FALSE(Result.Selection);
  EXPECT_EQ(Result.Targets.size(), 1U);
}

// Guards against a key in the response, and against fields that are missing.
TEST_F(RequestExplainerTest, ResponseHoldsWhatThePageNames) {
  addAllKinds();
  explain();
  const std::string Text = encodeExplanation(Result);
  EXPECT_EQ(Text.find("key-of-alder"), std::string::npos);
  const auto Parsed = boost::json::parse(Text);
  EXPECT_EQ(Parsed.at("configuration_version").as_int64(), 3);
  EXPECT_EQ(Parsed.at("account").at("name").as_string(), "alder");
  EXPECT_EQ(Parsed.at("targets").as_array().size(), 6U);
  EXPECT_EQ(Parsed.at("outcome").at("result").as_string(), "send");
}

// Guards against a route or a service in the response of a host that has no
// configuration.
TEST_F(RequestExplainerTest, HostWithoutAConfigurationRefuses) {
  explain();
  const auto Parsed = boost::json::parse(encodeExplanation(Result));
  EXPECT_FALSE(Parsed.as_object().contains("route"));
  EXPECT_FALSE(Parsed.as_object().contains("service"));
  EXPECT_EQ(Parsed.at("outcome").at("status").as_int64(), 503);
  EXPECT_EQ(Parsed.at("outcome").at("reason").as_string(), "no_configuration");
}

} // namespace
} // namespace comfreyrill
