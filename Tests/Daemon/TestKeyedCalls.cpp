#include <Daemon/HeaderNames.h>
#include <Daemon/KeyedCalls.h>
#include <LibPeer/PeerServer.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

/// Three hosts in one event loop whose keyed calls communicate over TCP.
/// Closing the peer listener of a host simulates a killed process.
class KeyedCallsTest : public testing::Test {
protected:
  struct Host {
    HostProcess Self;
    std::shared_ptr<PeerMesh> Mesh;
    std::shared_ptr<PeerServer> Server;
    std::unique_ptr<KeyedCalls> Keys;
    int Runs = 0;
  };

  KeyedCallsTest()
      : Output(LogLevel::Error, ""), Decisions(Loop.get_executor(), Output),
        Pool(Loop.get_executor(), TimeSource, std::chrono::seconds(30)),
        Services(TimeSource), Generator(1) {
    for (const char *Name : {"h1", "h2", "h3"})
      addHost(Name);
  }

  void addHost(const std::string &Name) {
    auto Added = std::make_unique<Host>();
    Host &Self = *Added;
    Self.Self = {HostId(Name), HostIncarnation{Hosts.size() + 1}};
    Self.Mesh = std::make_shared<PeerMesh>(Loop.get_executor(), TimeSource,
                                           PeerMeshLimits{}, Random(2));
    PeerDirectory Directory;
    Directory.Find = [this](const HostProcess &Wanted) {
      return findHost(Wanted);
    };
    Directory.Candidates = [this] { return candidates(); };
    Self.Keys = std::make_unique<KeyedCalls>(dependencies(), Self.Self,
                                             *Self.Mesh, Directory);
    Self.Server = std::make_shared<PeerServer>(
        Loop.get_executor(), TimeSource, PeerServerLimits{},
        [&Self](const wire::PeerBody &Body, const PeerReply &Reply) {
          if (Body.__isset.grant_request)
            Reply.send(Self.Keys->onGrantRequest(Body.grant_request));
          else if (Body.__isset.seal_request)
            Reply.send(Self.Keys->onSealRequest(Body.seal_request));
          else if (Body.__isset.outcome_notice)
            Self.Keys->onOutcomeNotice(Body.outcome_notice);
        });
    EXPECT_TRUE(Self.Server->listen({"127.0.0.1", 0}).has_value());
    for (const auto &Other : Hosts) {
      Other->Keys->onIssuerSecret(Self.Self.Incarnation, Self.Keys->secret());
      Self.Keys->onIssuerSecret(Other->Self.Incarnation, Other->Keys->secret());
    }
    Hosts.push_back(std::move(Added));
  }

  DaemonDependencies dependencies() {
    return {Loop.get_executor(), TimeSource,     Generator, Pool,
            Decisions,           ProcessMetrics, Services,  FailureDomain("a"),
            HttpLimits{}};
  }

  // No host listens for callers, so the issuer of a relayed call is always
  // unreachable.
  std::optional<PeerAddresses> findHost(const HostProcess &Wanted) const {
    for (const auto &Other : Hosts)
      if (Other->Self == Wanted)
        return PeerAddresses{
            Other->Server->localEndpoint(), {"127.0.0.1", 1}, true};
    return std::nullopt;
  }

  std::vector<WitnessCandidate> candidates() const {
    std::vector<WitnessCandidate> Found;
    for (const auto &Other : Hosts)
      Found.push_back({Other->Self, FailureDomain("a"),
                       AllowedWitnesses.contains(Other->Self.Host.Value)});
    return Found;
  }

  /// Issues a key at one host, with another host as its witness.
  std::string issue(Host &Issuer, const Host &Witness) {
    AllowedWitnesses = {Witness.Self.Host.Value};
    return Issuer.Keys->issue(WitnessPlacement::SameDomain);
  }

  CallResult call(Host &Receiver, const std::string &Key,
                  std::uint64_t Fingerprint = 7,
                  std::optional<CallResult> Refusal = std::nullopt) {
    std::optional<CallResult> Result;
    asio::co_spawn(
        Loop,
        [&]() -> Awaitable<void> {
          KeyedCall Call;
          Call.KeyText = Key;
          Call.Original = HttpRequest{http::verb::post, "/v1/call/s/x", 11};
          Call.Fingerprint = Fingerprint;
          Call.Deadline = TimeSource.now() + std::chrono::seconds(2);
          Call.Refusal = std::move(Refusal);
          Call.Run = [&Receiver, this](AttemptHooks Hooks) {
            return run(Receiver, std::move(Hooks));
          };
          Result = co_await Receiver.Keys->handle(std::move(Call));
        },
        asio::detached);
    Loop.restart();
    while (!Result && Loop.run_one() > 0) {
    }
    // Gives the outcome notice time to be sent to the witness.
    Loop.run_for(std::chrono::milliseconds(5));
    return std::move(*Result);
  }

  Awaitable<CallResult> run(Host &Receiver, AttemptHooks Hooks) {
    if (!Hooks.MayBegin())
      co_return notRunResult("deadline_passed", "");
    ++Receiver.Runs;
    co_return answerResult(jsonResponse(http::status::ok, "done"),
                           TargetId("t1"));
  }

  asio::io_context Loop;
  SystemClock TimeSource;
  Log Output;
  DecisionLog Decisions;
  ConnectionPool Pool;
  ServiceTable Services;
  Random Generator;
  Metrics ProcessMetrics;
  std::unordered_set<std::string> AllowedWitnesses;
  std::vector<std::unique_ptr<Host>> Hosts;
};

// Guards against running the same request twice at the issuer of its key.
TEST_F(KeyedCallsTest, RepeatedKeyReplaysTheStoredAnswer) {
  Host &Issuer = *Hosts[0];
  const std::string Key = issue(Issuer, *Hosts[1]);
  EXPECT_EQ(call(Issuer, Key).Answer.body(), "done");
  const CallResult SecondResult = call(Issuer, Key);
  EXPECT_EQ(SecondResult.Kind, Outcome::Answer);
  EXPECT_EQ(SecondResult.Answer.body(), "done");
  EXPECT_EQ(SecondResult.Target.Value, "t1");
  EXPECT_EQ(Issuer.Runs, 1);
}

// Guards against returning the answer to another caller's request.
TEST_F(KeyedCallsTest, SameKeyForAnotherRequestIsAConflict) {
  Host &Issuer = *Hosts[0];
  const std::string Key = issue(Issuer, *Hosts[1]);
  call(Issuer, Key, 7);
  const CallResult Other = call(Issuer, Key, 8);
  EXPECT_EQ(Other.Kind, Outcome::NotRun);
  EXPECT_EQ(Other.Reason, "key_conflict");
  EXPECT_EQ(Issuer.Runs, 1);
}

// Guards against a run without the grant of the witness: a third host could
// then seal the key at the witness and report a false "not-run".
TEST_F(KeyedCallsTest, UnreachableWitnessGivesNotRunAndNextKey) {
  Host &Issuer = *Hosts[0];
  const std::string Key = issue(Issuer, *Hosts[1]);
  Hosts[1]->Server->close();
  const CallResult Result = call(Issuer, Key);
  EXPECT_EQ(Result.Kind, Outcome::NotRun);
  EXPECT_FALSE(Result.NextKey.empty());
  EXPECT_EQ(Issuer.Runs, 0);
  // The key stays sealed, even if the witness becomes reachable again.
  EXPECT_EQ(call(Issuer, Key).Kind, Outcome::NotRun);
  EXPECT_EQ(Issuer.Runs, 0);
}

// Guards against the outcome "unknown" for a request that its unreachable
// issuer never started, and against the issuer running the request after the
// caller was told "not-run".
TEST_F(KeyedCallsTest, KeySealedWithoutItsIssuerNeverRuns) {
  Host &Issuer = *Hosts[0];
  const std::string Key = issue(Issuer, *Hosts[1]);
  const CallResult OtherHostResult = call(*Hosts[2], Key);
  EXPECT_EQ(OtherHostResult.Kind, Outcome::NotRun);
  EXPECT_FALSE(OtherHostResult.NextKey.empty());
  // The issuer was only frozen and now receives a copy of the request.
  const CallResult LateResult = call(Issuer, Key);
  EXPECT_EQ(LateResult.Kind, Outcome::NotRun);
  EXPECT_EQ(Issuer.Runs, 0);
}

// Guards against losing an answer when the host that received it fails.
TEST_F(KeyedCallsTest, WitnessReplaysAnswerAfterIssuerIsLost) {
  Host &Issuer = *Hosts[0];
  const std::string Key = issue(Issuer, *Hosts[1]);
  call(Issuer, Key);
  Issuer.Server->close();
  CallResult OtherHostResult = call(*Hosts[2], Key);
  // The outcome is unknown until the notice reaches the witness.
  for (int Try = 0; Try < 100 && OtherHostResult.Kind == Outcome::Unknown;
       ++Try)
    OtherHostResult = call(*Hosts[2], Key);
  EXPECT_EQ(OtherHostResult.Kind, Outcome::Answer);
  EXPECT_EQ(OtherHostResult.Answer.body(), "done");
  EXPECT_EQ(Hosts[2]->Runs, 0);
}

// Guards against a false "not-run" when neither the issuer nor the witness of
// the key can be reached.
TEST_F(KeyedCallsTest, UnreachableIssuerAndWitnessGiveUnknown) {
  const std::string Key = issue(*Hosts[0], *Hosts[1]);
  Hosts[1]->Server->close();
  const CallResult OtherHostResult = call(*Hosts[2], Key);
  EXPECT_EQ(OtherHostResult.Kind, Outcome::Unknown);
}

// Guards against running a late copy of a refused request after the caller was
// told "not-run", and against a refusal that waits for an unresponsive witness.
TEST_F(KeyedCallsTest, RefusedCallSealsItsKeyWithoutTheWitness) {
  Host &Issuer = *Hosts[0];
  const std::string Key = issue(Issuer, *Hosts[1]);
  Hosts[1]->Server->close();
  const CallResult Refused =
      call(Issuer, Key, 7, notRunResult("host_overloaded", "use another host"));
  EXPECT_EQ(Refused.Kind, Outcome::NotRun);
  EXPECT_EQ(Refused.Reason, "host_overloaded");
  EXPECT_FALSE(Refused.NextKey.empty());
  const CallResult LateResult = call(Issuer, Key);
  EXPECT_EQ(LateResult.Kind, Outcome::NotRun);
  EXPECT_EQ(Issuer.Runs, 0);
}

// Guards against issuing keys whose witness no longer answers.
TEST_F(KeyedCallsTest, UnresponsiveWitnessIsNotChosenAgain) {
  Host &Issuer = *Hosts[0];
  const std::string Key = issue(Issuer, *Hosts[1]);
  Hosts[1]->Server->close();
  call(Issuer, Key);
  const std::string Next = issue(Issuer, *Hosts[1]);
  EXPECT_EQ(Next.find(":h2:"), std::string::npos) << Next;
}

} // namespace
} // namespace comfreyrill
