#include "Fleet.h"

#include <LibMembership/HostsObject.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;
using test::describe;

const TimePoint Now{std::chrono::hours(1)};

// Guards against entries that are lost when hosts start together, and against
// many calls at startup. Each host reads the object, adds its entry and writes
// the object on condition that the version is unchanged.
TEST(HostsObject, AllHostsRegisterWithFewCalls) {
  constexpr int Count = 40;
  constexpr Duration CallTime = 3ms;
  HostsObject Stored;
  int Version = 0;
  int Calls = 0;
  Random Generator(1);
  struct Start {
    HostDescription Self;
    TimePoint Next = Now;
    std::size_t Conflicts = 0;
    std::optional<int> ReadVersion;
    HostsObject Read;
    bool IsDone = false;
  };
  std::vector<Start> Starts;
  for (int Index = 0; Index < Count; ++Index) {
    Starts.push_back({});
    Starts.back().Self = describe(Index, 1, 1);
  }
  for (TimePoint Time = Now; Time < Now + 20s; Time += 1ms)
    for (auto &One : Starts) {
      if (One.IsDone || Time < One.Next)
        continue;
      ++Calls;
      One.Next = Time + CallTime;
      if (!One.ReadVersion) {
        One.ReadVersion = Version;
        One.Read = Stored;
        continue;
      }
      ASSERT_TRUE(addOwnEntry(One.Read, One.Self));
      One.IsDone = *One.ReadVersion == Version;
      if (One.IsDone) {
        Stored = One.Read;
        ++Version;
      } else {
        One.Next = Time + registrationBackoff(++One.Conflicts, Generator);
      }
      One.ReadVersion.reset();
    }
  EXPECT_EQ(Stored.Hosts.size(), static_cast<std::size_t>(Count));
  EXPECT_LE(Calls, Count * 10);
  EXPECT_FALSE(addOwnEntry(Stored, Starts[5].Self));
}

// Guards against an earlier process whose entry stays in the object, or that
// removes the entry of its successor when it exits.
TEST(HostsObject, SuccessorReplacesItsPredecessor) {
  HostsObject Object;
  addOwnEntry(Object, describe(1, 7, 100));
  // The clock of the new machine is behind.
  EXPECT_TRUE(addOwnEntry(Object, describe(1, 3, 50)));
  ASSERT_EQ(Object.Hosts.size(), 1U);
  EXPECT_FALSE(removeOwnEntry(Object, describe(1, 7, 100)));
  EXPECT_TRUE(removeOwnEntry(Object, describe(1, 3, 50)));
  EXPECT_TRUE(Object.Hosts.empty());
}

// Guards against the removal of another region's hosts during a partition, and
// against endless contact attempts to departed hosts.
TEST(HostsObject, OnlyHostsGoneForLongAreRemoved) {
  auto Table = makeMemberTable(describe(0, 1, 1), {}, {}, Now);
  HostsObject Object;
  for (int Index = 0; Index < 4; ++Index)
    addOwnEntry(Object, describe(Index, 1, 1));
  mergeHostsObject(Table, Object, Now);
  EXPECT_EQ(Table.Peers.size(), 3U);
  auto Left = describe(1, 1, 1);
  Left.State = HostState::Leaving;
  Left.Sequence = 1;
  processHeartbeat(Table, {Left, {}}, Now);
  EXPECT_FALSE(removeDepartedHosts(Object, Table, Now + 10s));
  EXPECT_TRUE(removeDepartedHosts(Object, Table, Now + 1h));
  EXPECT_EQ(Object.Hosts.size(), 3U);
  EXPECT_TRUE(removeDepartedHosts(Object, Table, Now + 3h));
  EXPECT_EQ(Object.Hosts.size(), 1U);
}

} // namespace
} // namespace comfreyrill
