#include <DomainHostsView.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

class DomainHostsViewTest : public testing::Test {
protected:
  DomainHostsViewTest() {
    Members.Self.Host = HostId("edge-0");
    Members.Self.Domain = FailureDomain("west");
  }

  void addPeer(const std::string &Id, std::optional<TimePoint> LastHeard,
               HostState State = HostState::Ready) {
    Peer Other;
    Other.Description.Host = HostId(Id);
    Other.Description.State = State;
    Other.KnownSince = Now - 5min;
    Other.LastHeard = LastHeard;
    Members.Peers.push_back(Other);
  }

  DomainHosts view(bool HasSeeds = true) const {
    return domainHosts(Members, Domains, HasSeeds, Now);
  }

  TimePoint Now{1h};
  MemberTable Members;
  DomainTable Domains;
};

// Guards against cold targets that are assigned to hosts that are gone, and
// against hosts that take over the shares of silent ones that may still run.
TEST_F(DomainHostsViewTest, SilentHostsStayKnownForSomeTime) {
  addPeer("edge-1", Now);
  addPeer("edge-2", Now - 20s);
  addPeer("edge-3", Now - 2min);
  addPeer("edge-4", std::nullopt);
  addPeer("edge-5", Now, HostState::Leaving);
  EXPECT_EQ(view().Self, HostId("edge-0"));
  EXPECT_EQ(view().Others,
            (std::vector<DomainHost>{{HostId("edge-1"), true},
                                     {HostId("edge-2"), false},
                                     {HostId("edge-5"), false}}));
  EXPECT_FALSE(view().IsIsolated);
}

// Guards against hosts that each use the whole budget of a cold target because
// they have not met yet or cannot reach each other, and against a host that
// leaves cold targets unused although there is no other host.
TEST_F(DomainHostsViewTest, HostThatHearsNobodyIsIsolatedUnlessItIsAlone) {
  EXPECT_TRUE(view().IsIsolated);
  EXPECT_FALSE(view(false).IsIsolated);
  addPeer("edge-1", Now - 10s);
  EXPECT_TRUE(view(false).IsIsolated);
  // The other hosts of the domain are lost, but the network is not.
  Domains.Domains[FailureDomain("east")].HeardAt = Now - 1s;
  EXPECT_FALSE(view().IsIsolated);
  Now += 5s;
  EXPECT_TRUE(view().IsIsolated);
}

} // namespace
} // namespace comfreyrill
