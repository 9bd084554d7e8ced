#include "MeshHost.h"

#include <CrashExchange.h>

#include <LibPeer/PeerServer.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t Request = 42;

/// A host with its crash history, and a listener for notices of other hosts.
struct CrashHost : MeshHost {
  CrashHost(asio::io_context &Loop, const Clock &TimeSource,
            const std::string &Domain)
      : MeshHost(Loop, TimeSource, Domain),
        Quarantine(std::make_shared<CrashQuarantine>(Dependencies)),
        Exchange(std::make_shared<CrashExchange>(Dependencies, *Quarantine,
                                                 Members, Domains, *Mesh)),
        Server(std::make_shared<PeerServer>(
            Loop.get_executor(), TimeSource, PeerServerLimits{},
            [this](const wire::PeerBody &Body, const PeerReply &) {
              ++Notices;
              Exchange->onNotice(Body.load_notice.crashes);
            })) {
    EXPECT_TRUE(Server->listen({"127.0.0.1", 0}));
    Members.Self.Domain = FailureDomain(Domain);
    Members.Self.State = HostState::Ready;
    Members.Self.PeerAddress = Server->localEndpoint();
    Exchange->start();
  }
  ~CrashHost() { Server->close(); }

  void addPeer(const CrashHost &Other, TimePoint Now) {
    Peer Known;
    Known.Description.PeerAddress = Other.Members.Self.PeerAddress;
    Known.LastHeard = Now;
    Members.Peers.push_back(Known);
  }

  void addRemote(const CrashHost &Other, TimePoint Now) {
    RemoteDomain &Remote = Domains.Domains[Other.Members.Self.Domain];
    Remote.Hosts.push_back({HostId("r"), Other.Members.Self.PeerAddress,
                            Other.Members.Self.PeerAddress, HostState::Ready});
    Remote.HeardAt = Now;
  }

  bool isQuarantined() const {
    return Quarantine->quarantineLeft(Request).has_value();
  }

  MemberTable Members;
  DomainTable Domains;
  std::shared_ptr<CrashQuarantine> Quarantine;
  std::shared_ptr<CrashExchange> Exchange;
  std::shared_ptr<PeerServer> Server;
  int Notices = 0;
};

class CrashExchangeTest : public testing::Test {
protected:
  CrashReports crashes() const {
    CrashReports Reports;
    for (TargetLifetime Lifetime = 1; Lifetime <= 3; ++Lifetime)
      Reports.Crashes.push_back(
          {Request, {Lifetime, TimeSource.now() - Lifetime * 1s}});
    return Reports;
  }

  template <typename Condition> bool runUntil(Condition IsMet) {
    const TimePoint Until = TimeSource.now() + 3s;
    while (!IsMet() && TimeSource.now() < Until)
      Loop.run_one_for(10ms);
    return IsMet();
  }

  asio::io_context Loop{1};
  SystemClock TimeSource;
};

// Guards against hosts that do not learn of a request that crashes targets:
// its caller sends it to any host of any failure domain.
TEST_F(CrashExchangeTest, NewsReachesHostsOfOtherDomains) {
  CrashHost First(Loop, TimeSource, "west");
  CrashHost Delegate(Loop, TimeSource, "east");
  CrashHost Last(Loop, TimeSource, "east");
  First.addRemote(Delegate, TimeSource.now());
  Delegate.addPeer(Last, TimeSource.now());
  First.Quarantine->apply(crashes(), ReportSource::OwnDomain);
  EXPECT_TRUE(runUntil([&] { return Last.isQuarantined(); }));
  EXPECT_TRUE(Delegate.isQuarantined());

  // An answer spreads in the same way.
  First.Quarantine->onAnswer(Request);
  EXPECT_TRUE(runUntil([&] { return !Last.isQuarantined(); }));
}

// Guards against news that waits for a summary, which holds no request with a
// single crash: each host would count the first crashes alone.
TEST_F(CrashExchangeTest, SingleCrashReachesHostsOfOtherDomains) {
  CrashHost First(Loop, TimeSource, "west");
  CrashHost Neighbour(Loop, TimeSource, "west");
  CrashHost Delegate(Loop, TimeSource, "east");
  CrashHost Last(Loop, TimeSource, "east");
  First.addPeer(Neighbour, TimeSource.now());
  Neighbour.addRemote(Delegate, TimeSource.now());
  Delegate.addPeer(Last, TimeSource.now());
  CrashReports Single = crashes();
  Single.Crashes.resize(1);
  First.Quarantine->apply(Single, ReportSource::ThisHost);
  EXPECT_TRUE(runUntil([&] { return Last.Quarantine->hasEvidence(); }));
}

// Guards against a host that has started after the crashes and passes the
// request on.
TEST_F(CrashExchangeTest, HostThatStartsLaterIsTold) {
  CrashHost First(Loop, TimeSource, "west");
  First.Quarantine->apply(crashes(), ReportSource::OtherDomain);
  Loop.run_for(200ms);
  CrashHost Started(Loop, TimeSource, "west");
  First.addPeer(Started, TimeSource.now());
  EXPECT_TRUE(runUntil([&] { return Started.isQuarantined(); }));
}

// Guards against notices between hosts while there is nothing to tell.
TEST_F(CrashExchangeTest, NothingIsSentWithoutEvidence) {
  CrashHost First(Loop, TimeSource, "west");
  CrashHost Second(Loop, TimeSource, "west");
  First.addPeer(Second, TimeSource.now());
  Second.addPeer(First, TimeSource.now());
  Loop.run_for(700ms);
  EXPECT_EQ(First.Notices + Second.Notices, 0);
  // Both hosts know the same, so news is not sent to and fro.
  First.Quarantine->apply(crashes(), ReportSource::OtherDomain);
  EXPECT_TRUE(runUntil([&] { return Second.isQuarantined(); }));
  Loop.run_for(1s);
  EXPECT_LE(First.Notices + Second.Notices, 8);
}

} // namespace
} // namespace comfreyrill
