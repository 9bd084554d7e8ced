#include "Fleet.h"

#include <LibMembership/Addresses.h>
#include <LibMembership/Drain.h>

#include <gtest/gtest.h>
#include <set>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;
using test::describe;

const TimePoint Now{std::chrono::hours(1)};

MemberTable tableOf(int Count) {
  auto Table = makeMemberTable(describe(0, 1, 1), {}, {}, Now);
  for (int Index = 1; Index < Count; ++Index) {
    auto Sender = describe(Index, 1, 1);
    Sender.Sequence = 1;
    processHeartbeat(Table, {Sender, {}}, Now);
  }
  return Table;
}

// Guards against hosts that get more callers than others, and against address
// lists that all fail together with one failure domain.
TEST(Addresses, AreUniformAndSpreadOverDomains) {
  const auto Table = tableOf(15);
  Random Generator(1);
  std::map<std::string, int> Firsts;
  for (int Round = 0; Round < 15000; ++Round) {
    const auto Chosen = chooseAddresses(Table, 4, Now, Generator);
    ASSERT_EQ(Chosen.size(), 4U);
    std::set<std::string> Hosts;
    std::set<std::string> Domains;
    for (const auto &One : Chosen) {
      Hosts.insert(One.Host.Value);
      Domains.insert(One.Domain.Value);
    }
    ASSERT_EQ(Hosts.size(), 4U);
    ASSERT_EQ(Domains.size(), 3U);
    ++Firsts[Chosen[0].Host.Value];
  }
  for (const auto &[Host, Count] : Firsts)
    EXPECT_NEAR(Count, 1000, 150) << Host;
}

// Guards against callers that are sent to a leaving, starting or suspect host.
// A host whose machine is listed as leaving is the last choice.
TEST(Addresses, OnlyReadyAliveHostsAreChosen) {
  auto Table = tableOf(6);
  Random Generator(2);
  Table.Peers[0].Description.State = HostState::Leaving;
  Table.Peers[1].Description.State = HostState::Starting;
  Table.Peers[2].LastHeard = Now - 2s;
  applyFleetList(Table, {{HostId("h104"), true}});
  const auto Chosen = chooseAddresses(Table, 10, Now, Generator);
  ASSERT_EQ(Chosen.size(), 3U);
  EXPECT_EQ(Chosen[2].Host.Value, "h104");
  announceState(Table, HostState::Leaving, Now);
  EXPECT_EQ(chooseAddresses(Table, 10, Now, Generator).size(), 2U);
  EXPECT_FALSE(announceState(Table, HostState::Ready, Now));
}

// Guards against a drain that aborts a call, and against one that never ends.
TEST(Addresses, DrainWaitsForCallersAndCallsWithinABound) {
  Drain Current;
  Current.Started = Now;
  EXPECT_EQ(drainPhase(Current, 0, Now + 30s), DrainPhase::Serve);
  EXPECT_EQ(drainPhase(Current, 1, Now + 33s), DrainPhase::Finish);
  EXPECT_EQ(drainPhase(Current, 0, Now + 33s), DrainPhase::Exit);
  EXPECT_EQ(drainPhase(Current, 1, Now + 93s), DrainPhase::Exit);
}

} // namespace
} // namespace comfreyrill
