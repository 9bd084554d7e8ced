#include "Fleet.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;
using test::describe;

const TimePoint Now{std::chrono::hours(1)};

MemberTable anyTable() {
  return makeMemberTable(describe(0, 1, 1), {}, {}, Now);
}

Heartbeat heartbeat(const HostDescription &Sender, std::uint64_t Sequence) {
  Heartbeat Sent{Sender, {}};
  Sent.Sender.Sequence = Sequence;
  return Sent;
}

// Guards against late heartbeats that overwrite newer state. In any order of
// arrival, the state of the newest heartbeat remains, and Leaving is never
// undone.
RC_GTEST_PROP(HeartbeatProcessing, OrderOfArrivalDoesNotMatter, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  Random Generator(Seed);
  std::vector<Heartbeat> Sent;
  const std::size_t LeavesAt = randomIndex(Generator, 20);
  for (std::size_t Index = 0; Index < 20; ++Index) {
    auto Sender = describe(1, 7, 1);
    Sender.State = Index < LeavesAt ? HostState::Ready : HostState::Leaving;
    Sender.Manifest = {Index / 3};
    Sent.push_back(heartbeat(Sender, Index + 1));
  }
  const auto Newest = Sent.back().Sender;
  std::shuffle(Sent.begin(), Sent.end(), Generator);
  auto Table = anyTable();
  for (const auto &One : Sent) {
    if (randomIndex(Generator, 2) == 0)
      processHeartbeat(Table, One, Now);
    else
      mergeIndirectDescription(Table, One.Sender, Now);
  }
  RC_ASSERT(Table.Peers[0].Description == Newest);
}

// Guards against heartbeats between all hosts for each change of a target,
// which all of them have received already.
TEST(HeartbeatProcessing, RecordedFleetVersionWaitsForTheNextHeartbeat) {
  auto Table = anyTable();
  Random Generator(1);
  for (int Index = 1; Index <= 3; ++Index)
    processHeartbeat(Table, heartbeat(describe(Index, 7, 1), 1), Now);
  while (!dueHeartbeats(Table, Now, Generator).empty()) {
  }
  recordFleetVersion(Table, 5);
  EXPECT_TRUE(dueHeartbeats(Table, Now, Generator).empty());
  announceFleetVersion(Table, 6, Now);
  const auto Due = dueHeartbeats(Table, Now, Generator);
  ASSERT_EQ(Due.size(), 3U);
  EXPECT_EQ(Due.front().Content.Sender.FleetVersion, 6U);
  recordFleetVersion(Table, 4);
  EXPECT_EQ(Table.Self.FleetVersion, 6U);
}

// Guards against a crashed host that stays alive because other hosts list it.
TEST(HeartbeatProcessing, RelayedDescriptionNeverMakesAHostAlive) {
  auto Table = anyTable();
  auto Reported = describe(1, 7, 1);
  Reported.Sequence = 1;
  mergeIndirectDescription(Table, Reported, Now);
  EXPECT_EQ(liveness(Table, Table.Peers[0], Now), Liveness::Unconfirmed);
  processHeartbeat(Table, heartbeat(Reported, 2), Now);
  Reported.Sequence = 50;
  Reported.State = HostState::Leaving;
  mergeIndirectDescription(Table, Reported, Now + 4s);
  EXPECT_EQ(liveness(Table, Table.Peers[0], Now + 4s), Liveness::Lost);
  EXPECT_EQ(Table.Peers[0].Description.State, HostState::Leaving);
}

// Guards against a late heartbeat of the process before a restart, and against
// a relayed description that replaces an active process.
TEST(HeartbeatProcessing, PredecessorIsIgnoredWhileItsSuccessorIsActive) {
  auto Table = anyTable();
  const auto Old = describe(1, 9, 10);
  const auto New = describe(1, 3, 20);
  processHeartbeat(Table, heartbeat(Old, 500), Now);
  EXPECT_EQ(processHeartbeat(Table, heartbeat(New, 1), Now),
            HeartbeatVerdict::Joined);
  EXPECT_EQ(processHeartbeat(Table, heartbeat(Old, 501), Now),
            HeartbeatVerdict::FromPredecessor);
  auto Relayed = describe(1, 5, 30);
  Relayed.Sequence = 900;
  mergeIndirectDescription(Table, Relayed, Now);
  EXPECT_EQ(Table.Peers[0].Description.Incarnation.Value, 3U);
}

// Guards against a host without addresses to which callers would be sent.
TEST(HeartbeatProcessing, ShortHeartbeatOfAnUnknownProcessIsRejected) {
  auto Table = anyTable();
  auto Short = describe(1, 7, 1);
  Short.PeerAddress = {};
  EXPECT_EQ(processHeartbeat(Table, heartbeat(Short, 1), Now),
            HeartbeatVerdict::Incomplete);
  auto FromPlatform = describe(1, 7, 1);
  FromPlatform.CallerAddress = {};
  mergeIndirectDescription(Table, FromPlatform, Now);
  EXPECT_EQ(processHeartbeat(Table, heartbeat(Short, 2), Now),
            HeartbeatVerdict::Incomplete);
}

// Guards against endless heartbeats to the machine on which this host ran
// before it was replaced, while other hosts still list its old process.
TEST(HeartbeatProcessing, SilentDuplicateProcessIsRemoved) {
  auto Table = anyTable();
  auto Old = describe(0, 9, 0);
  Old.PeerAddress.Port = 7109;
  mergeIndirectDescription(Table, Old, Now);
  Random Generator(1);
  std::size_t Sent = 0;
  for (TimePoint Time = Now; Time < Now + 3min; Time += 50ms) {
    expirePeers(Table, Time);
    Sent += dueHeartbeats(Table, Time, Generator).size();
  }
  EXPECT_GE(Sent, 2U);
  EXPECT_LE(Sent, 14U);
  EXPECT_FALSE(Table.DuplicateProcess.has_value());
}

// Guards against heartbeats and member tables that grow without bound.
TEST(HeartbeatProcessing, TableAndHeartbeatsAreBounded) {
  auto Table = anyTable();
  Random Generator(1);
  for (int Index = 1; Index <= 300; ++Index)
    processHeartbeat(Table, heartbeat(describe(Index, 1, 1), 1), Now);
  EXPECT_EQ(Table.Peers.size(), Table.Settings.MaximumPeers);
  for (const auto &Sent : dueHeartbeats(Table, Now, Generator))
    EXPECT_LE(Sent.Content.Known.size(), Table.Settings.MaximumKnown);
}

} // namespace
} // namespace comfreyrill
