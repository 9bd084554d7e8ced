#include <LibGateway/TargetDirectory.h>

#include <LibCore/Random.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{std::chrono::hours(1)};

TargetRegistration target(std::string Id, bool IsDraining = false,
                          std::uint64_t StartedAt = 1) {
  TargetRegistration Made;
  Made.Id = TargetId(std::move(Id));
  Made.Service = ServiceName("stock");
  Made.Address = {"10.0.0.1", 8080};
  Made.IsDraining = IsDraining;
  Made.StartedAtMilliseconds = StartedAt;
  return Made;
}

RegistrationChange changed(const TargetRegistration &Registered,
                           std::uint64_t Revision) {
  return {Registered.Id, Registered, {Revision}};
}

RegistrationChange gone(std::string Id, std::uint64_t Revision) {
  return {TargetId(std::move(Id)), std::nullopt, {Revision}};
}

// Guards against a stale read that overwrites newer state.
TEST(TargetDirectory, OlderListsAndChangesAreIgnored) {
  TargetDirectory Directory;
  ASSERT_TRUE(replaceRegistrations(Directory, {target("a")}, {5}, Start));
  EXPECT_FALSE(replaceRegistrations(Directory, {}, {4}, Start));
  EXPECT_FALSE(applyChange(Directory, gone("a", 4), Start));
  EXPECT_EQ(Directory.Targets.size(), 1U);
}

// Guards against new requests for a target that has begun to drain, when
// another source still reports it as ready.
TEST(TargetDirectory, DrainingIsNotClearedForTheSameProcess) {
  TargetDirectory Directory;
  applyChange(Directory, changed(target("a", true), 1), Start);
  applyChange(Directory, changed(target("a", false), 2), Start);
  EXPECT_TRUE(Directory.Targets.at(TargetId("a")).Registration.IsDraining);
  applyChange(Directory, changed(target("a", false, 2), 3), Start);
  EXPECT_FALSE(Directory.Targets.at(TargetId("a")).Registration.IsDraining);
}

// Guards against removing live targets that could not renew their registrations
// during an outage of the store, and against keeping targets that do not
// register again.
TEST(TargetDirectory,
     EntriesMissingAfterAnOutageAreRemovedAfterTheGracePeriod) {
  TargetDirectory Directory;
  replaceRegistrations(Directory, {target("a"), target("b")}, {1}, Start);
  recordStoreRecovery(Directory, Start);
  replaceRegistrations(Directory, {}, {2}, Start + 10ms);
  EXPECT_EQ(Directory.Targets.size(), 2U);
  applyChange(Directory, changed(target("a"), 3), Start + 1s);
  EXPECT_TRUE(removeMissingTargets(Directory, Start + 1900ms).empty());
  const auto Dropped = removeMissingTargets(Directory, Start + 2s);
  ASSERT_EQ(Dropped.size(), 1U);
  EXPECT_EQ(Dropped.front(), TargetId("b"));
  EXPECT_TRUE(Directory.Targets.contains(TargetId("a")));
}

// Guards against requests for a target whose entry was deleted while the store
// was available.
TEST(TargetDirectory, EntriesMissingWithoutAnOutageAreRemoved) {
  TargetDirectory Directory;
  replaceRegistrations(Directory, {target("a"), target("b", true)}, {1}, Start);
  EXPECT_TRUE(applyChange(Directory, gone("a", 2), Start));
  EXPECT_FALSE(Directory.Targets.contains(TargetId("a")));
  recordStoreRecovery(Directory, Start);
  // A draining target has announced its exit and gets no grace period.
  EXPECT_TRUE(applyChange(Directory, gone("b", 3), Start));
  EXPECT_TRUE(Directory.Targets.empty());
}

// Guards against a host that misses changes without detecting it.
TEST(TargetDirectory, DeltasWithAGapAreRejected) {
  TargetDirectory Directory;
  const TargetDelta Gap{{3}, {4}, {changed(target("a"), 4)}};
  EXPECT_FALSE(applyDelta(Directory, Gap, Start));
  EXPECT_TRUE(Directory.Targets.empty());
  const TargetDelta Complete{{0}, {4}, {changed(target("a"), 4)}};
  EXPECT_TRUE(applyDelta(Directory, Complete, Start));
  EXPECT_FALSE(applyDelta(Directory, {{1}, {3}, {gone("a", 3)}}, Start));
  EXPECT_EQ(Directory.Targets.size(), 1U);
}

TEST(TargetDirectory, RemainingColdTimeIsPassedOn) {
  TargetDirectory Source;
  TargetRegistration Cold = target("a");
  Cold.ColdTime = 3s;
  applyChange(Source, changed(Cold, 1), Start);
  TargetDirectory Follower;
  applyDelta(Follower, makeCompleteDelta(Source, Start + 1s), Start + 1s);
  EXPECT_EQ(Follower.Targets.at(TargetId("a")).ColdUntil, Start + 3s);
}

std::vector<std::string> describe(const TargetDirectory &Directory) {
  std::vector<std::string> Text;
  for (const auto &[Id, Entry] : Directory.Targets)
    Text.push_back(Id.Value + (Entry.Registration.IsDraining ? " drains" : "") +
                   std::to_string(Entry.Registration.StartedAtMilliseconds));
  return Text;
}

// Guards against hosts whose target directories stay different: deltas are
// lost, repeated and reordered, and a host that is behind fetches the complete
// list.
RC_GTEST_PROP(TargetDirectory, FollowersConvergeWithTheirSource, ()) {
  Random Choice(*rc::gen::arbitrary<std::uint64_t>());
  TargetDirectory Source;
  TargetDirectory Follower;
  std::vector<TargetDelta> Sent;
  StoreRevision Last;
  for (std::uint64_t Revision = 1; Revision <= 40; ++Revision) {
    const std::string Id(1, static_cast<char>('a' + randomIndex(Choice, 5)));
    const RegistrationChange Change =
        randomIndex(Choice, 3) == 0
            ? gone(Id, Revision)
            : changed(target(Id, randomIndex(Choice, 2) == 0,
                             1 + randomIndex(Choice, 3)),
                      Revision);
    applyChange(Source, Change, Start);
    Sent.push_back(makeDelta(Source, Last, {TargetId(Id)}, Start));
    Last = Source.Revision;
    if (randomIndex(Choice, 2) == 0)
      applyDelta(Follower, Sent[randomIndex(Choice, Sent.size())], Start);
    RC_ASSERT(Follower.Revision <= Source.Revision);
  }
  if (Follower.Revision < Source.Revision)
    applyDelta(Follower, makeCompleteDelta(Source, Start), Start);
  RC_ASSERT(describe(Follower) == describe(Source));
}

} // namespace
} // namespace comfreyrill
