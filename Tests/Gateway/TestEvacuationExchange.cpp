#include "MeshHost.h"

#include <EvacuationExchange.h>
#include <FleetService.h>

#include <LibMembership/HeartbeatProcessing.h>
#include <LibPeer/HeartbeatConversion.h>

#include <LibPeer/PeerServer.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

const FailureDomain Evacuated("north");

/// A host with its view of the evacuations, and a listener for notices.
struct EvacuatingHost : MeshHost {
  EvacuatingHost(asio::io_context &Loop, const Clock &TimeSource,
                 const std::string &Domain)
      : MeshHost(Loop, TimeSource, Domain),
        Exchange(std::make_shared<EvacuationExchange>(Dependencies, Members,
                                                      Domains, *Mesh)),
        Server(std::make_shared<PeerServer>(
            Loop.get_executor(), TimeSource, PeerServerLimits{},
            [this](const wire::PeerBody &Body, const PeerReply &) {
              ++Notices;
              Exchange->onNotice(Body.load_notice.evacuations);
            })) {
    EXPECT_TRUE(Server->listen({"127.0.0.1", 0}));
    Members.Self.Domain = FailureDomain(Domain);
    Members.Self.State = HostState::Ready;
    Members.Self.PeerAddress = Server->localEndpoint();
    Exchange->setEnabled(true);
    Exchange->start();
  }
  ~EvacuatingHost() { Server->close(); }

  void addPeer(const EvacuatingHost &Other, TimePoint Now) {
    Peer Known;
    Known.Description.PeerAddress = Other.Members.Self.PeerAddress;
    // The hosts exchange no heartbeats.
    Known.LastHeard = Now + 10s;
    Members.Peers.push_back(Known);
  }

  void addRemote(const EvacuatingHost &Other, TimePoint Now) {
    RemoteDomain &Remote = Domains.Domains[Other.Members.Self.Domain];
    Remote.Hosts.push_back({HostId("r"), Other.Members.Self.PeerAddress,
                            Other.Members.Self.PeerAddress, HostState::Ready});
    Remote.HeardAt = Now;
  }

  /// Acts like the watch of the store.
  void change(std::uint64_t Revision, bool IsEvacuated) {
    CurrentState.applyEvacuationChange({{Revision}, Evacuated, IsEvacuated},
                                       "store");
    Exchange->publish();
  }

  bool isEvacuated() const {
    return comfreyrill::isEvacuated(CurrentState.evacuations(), Evacuated);
  }

  MemberTable Members;
  DomainTable Domains;
  std::shared_ptr<EvacuationExchange> Exchange;
  std::shared_ptr<PeerServer> Server;
  int Notices = 0;
};

class EvacuationExchangeTest : public testing::Test {
protected:
  template <typename Condition>
  bool runUntil(Condition IsMet, Duration Limit = 3s) {
    const TimePoint Until = TimeSource.now() + Limit;
    while (!IsMet() && TimeSource.now() < Until)
      Loop.run_one_for(10ms);
    return IsMet();
  }

  asio::io_context Loop{1};
  SystemClock TimeSource;
};

// Guards against hosts that go on using the targets of an evacuated domain, or
// leave them unused after its end, because they do not watch the store. The
// news must not wait for a repeat.
TEST_F(EvacuationExchangeTest, ChangesReachHostsOfOtherDomainsAtOnce) {
  EvacuatingHost Watcher(Loop, TimeSource, "west");
  EvacuatingHost Neighbour(Loop, TimeSource, "west");
  EvacuatingHost Delegate(Loop, TimeSource, "east");
  EvacuatingHost Last(Loop, TimeSource, "east");
  Watcher.addPeer(Neighbour, TimeSource.now());
  Watcher.addRemote(Delegate, TimeSource.now());
  Delegate.addPeer(Last, TimeSource.now());
  const auto ReachesAll = [&](bool Expected) {
    return runUntil(
        [&] {
          return Neighbour.isEvacuated() == Expected &&
                 Delegate.isEvacuated() == Expected &&
                 Last.isEvacuated() == Expected;
        },
        700ms);
  };
  Watcher.change(5, true);
  EXPECT_TRUE(ReachesAll(true));
  Watcher.change(6, false);
  EXPECT_TRUE(ReachesAll(false));
}

// Guards against a host that has just started, or missed the news, and sends
// requests to an evacuated domain, also while no host watches the store.
TEST_F(EvacuationExchangeTest, HostThatStartsLaterIsTold) {
  EvacuatingHost First(Loop, TimeSource, "west");
  First.change(5, true);
  EvacuatingHost Started(Loop, TimeSource, "west");
  EvacuatingHost Remote(Loop, TimeSource, "east");
  First.addPeer(Started, TimeSource.now());
  First.addRemote(Remote, TimeSource.now());
  EXPECT_TRUE(
      runUntil([&] { return Started.isEvacuated() && Remote.isEvacuated(); }));
}

// Guards against requests of a host that has just started to an evacuated
// domain, in the time until the next repeat.
TEST_F(EvacuationExchangeTest, HostThatJoinsIsToldAtOnce) {
  EvacuatingHost First(Loop, TimeSource, "west");
  EvacuatingHost Started(Loop, TimeSource, "west");
  First.Exchange->onJoin(Started.Members.Self.PeerAddress);
  Loop.run_for(100ms);
  EXPECT_EQ(Started.Notices, 0);
  First.change(5, true);
  First.Exchange->onJoin(Started.Members.Self.PeerAddress);
  EXPECT_TRUE(runUntil([&] { return Started.isEvacuated(); }, 700ms));
}

// Guards against a host that is not told at once because its peers have learned
// of it from a seed or another host before they heard it.
TEST_F(EvacuationExchangeTest, HostThatIsKnownIndirectlyIsToldAtOnce) {
  EvacuatingHost First(Loop, TimeSource, "west");
  EvacuatingHost Started(Loop, TimeSource, "west");
  First.change(5, true);
  First.Members = makeMemberTable(First.Members.Self, {}, MembershipSettings{},
                                  TimeSource.now());
  HostDescription &Joiner = Started.Members.Self;
  Joiner.Host = HostId("h2");
  Joiner.Incarnation.Value = 1;
  Joiner.CallerAddress = Joiner.PeerAddress;
  mergeIndirectDescription(First.Members, Joiner, TimeSource.now());
  const auto Replicator = std::make_shared<StateReplicator>(
      First.Dependencies, First.Members, First.Domains, *First.Mesh);
  const auto Loads = std::make_shared<LoadExchange>(First.Dependencies,
                                                    First.Members, *First.Mesh);
  const auto Quarantine = std::make_shared<CrashQuarantine>(First.Dependencies);
  const auto Crashes = std::make_shared<CrashExchange>(
      First.Dependencies, *Quarantine, First.Members, First.Domains,
      *First.Mesh);
  const auto Quotas = std::make_shared<AllotmentExchange>(
      First.Dependencies, First.Members, First.Domains, *First.Mesh);
  const auto Fleet = std::make_shared<FleetService>(
      First.Dependencies, First.Members, First.Domains, *Replicator, *Loads,
      *Crashes, *Quotas, *First.Exchange, *First.Mesh, std::vector<Endpoint>{});
  Heartbeat Content;
  Content.Sender = Joiner;
  Content.Sender.Sequence = 1;
  wire::PeerBody Body;
  Body.__set_heartbeat(toWire(Content));
  Fleet->handle(Body, PeerReply({}, 0));
  EXPECT_TRUE(runUntil([&] { return Started.isEvacuated(); }, 500ms));
}

// Guards against repeats that grow with the square of the hosts, and against
// news that goes to and fro.
TEST_F(EvacuationExchangeTest, OnlyTheWatcherRepeats) {
  EvacuatingHost Watcher(Loop, TimeSource, "west");
  EvacuatingHost Other(Loop, TimeSource, "west");
  Watcher.Members.Self.WatchesStore = true;
  Watcher.addPeer(Other, TimeSource.now());
  Other.addPeer(Watcher, TimeSource.now());
  Other.Members.Peers.front().Description.WatchesStore = true;
  Watcher.change(5, true);
  ASSERT_TRUE(runUntil([&] { return Other.isEvacuated(); }));
  // The delegate has passed the news on once.
  Loop.run_for(300ms);
  const int Answers = Watcher.Notices;
  EXPECT_LE(Answers, 1);
  EXPECT_TRUE(runUntil([&] { return Other.Notices >= 2; }));
  EXPECT_EQ(Watcher.Notices, Answers);
}

// Guards against notices between hosts whose deployment has no evacuations, and
// against an evacuation that stays in force when that is taken back.
TEST_F(EvacuationExchangeTest, NothingIsSentWithoutEvacuations) {
  EvacuatingHost First(Loop, TimeSource, "west");
  EvacuatingHost Second(Loop, TimeSource, "west");
  First.addPeer(Second, TimeSource.now());
  First.change(5, true);
  ASSERT_TRUE(runUntil([&] { return Second.isEvacuated(); }));
  First.Exchange->setEnabled(false);
  Second.Exchange->setEnabled(false);
  EXPECT_FALSE(First.isEvacuated());
  EXPECT_FALSE(Second.isEvacuated());
  const int Notices = Second.Notices;
  Loop.run_for(1200ms);
  EXPECT_EQ(Second.Notices, Notices);
}

} // namespace
} // namespace comfreyrill
