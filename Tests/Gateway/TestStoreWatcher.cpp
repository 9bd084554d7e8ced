#include <StoreWatcher.h>

#include <Soak/ObjectStoreStandIn.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

boost::json::value configuration(const std::string &Version) {
  return boost::json::object{
      {"version", Version},
      {"services", boost::json::array{boost::json::object{{"name", "stock"}}}},
      {"routes",
       boost::json::array{boost::json::object{{"name", "read"},
                                              {"host", "desk.example"},
                                              {"pathPrefix", "/read/"},
                                              {"kind", "read_only"},
                                              {"service", "stock"},
                                              {"timeoutS", 1}}}}};
}

boost::json::value registration(std::string_view State) {
  return boost::json::object{{"service", "stock"}, {"address", "127.0.0.1:9"},
                             {"zone", "west"},     {"slots", 4},
                             {"state", State},     {"born", 1771918829000}};
}

/// Entries that other programs may write, which name no target.
std::map<std::string, std::string> oddEntries() {
  const auto With = [](const std::string &Fields) {
    return R"({"service":"stock","address":"127.0.0.1:9","zone":"west",)"
           R"("slots":4,"state":"ready")" +
           Fields + "}";
  };
  const std::string Deep = std::string(50'000, '[') + std::string(50'000, ']');
  return {
      {"deep", With(",\"more\":" + Deep)},
      {"number", With(",\"born\":1e999999")},
      {"cold", With(",\"coldLeftS\":\"soon\"")},
      {"digits", With(",\"slots\":" + std::string(5000, '9'))},
      {"port", R"({"service":"stock","address":"127.0.0.1:99999",)"
               R"("zone":"west","slots":4,"state":"ready"})"},
      {"no_port", R"({"service":"stock","address":"127.0.0.1:0",)"
                  R"("zone":"west","slots":4,"state":"ready"})"},
      {"escape", With(",\"service\":\"\\udcff\\udcfe\"")},
      {"bytes", With(",\"address\":\"\xff\xfe\"")},
      {"type", With(",\"state\":7")},
      {"large", With(",\"zone\":[\"" + std::string(900'000, 'x') + "\"]")},
      {"null", "null"},
      {"name with & # % \"quotes\"\n", "[]"},
  };
}

/// Clock of the system that tests set forward.
class ShiftedClock final : public Clock {
public:
  TimePoint now() const override { return SystemClock().now() + Shift; }
  void advance(Duration Step) { Shift += Step; }

private:
  Duration Shift{0};
};

class StoreWatcherTest : public testing::Test {
protected:
  StoreWatcherTest() {
    EXPECT_TRUE(Store.listen());
    Store.put("config", "main", configuration("r1"));
    Client.emplace(Store.endpoint(), StoreConnections, TimeSource);
    Watcher = std::make_shared<StoreWatcher>(Dependencies, *Client,
                                             [this] { ++Changes; });
    Watcher->setRole(StoreRole::Watch);
  }

  /// Runs the event loop until the condition holds or the time is over. Returns
  /// whether the condition holds.
  bool runUntil(const std::function<bool()> &Condition, Duration Limit) {
    const TimePoint Until = TimeSource.now() + Limit;
    while (!Condition() && TimeSource.now() < Until)
      Loop.run_one_for(std::chrono::milliseconds(5));
    return Condition();
  }

  /// Runs the event loop until the watcher is synchronized and all of its
  /// watches wait for changes.
  bool watchesWait() {
    return runUntil(
        [this] {
          return Watcher->isSynchronized() && Store.waitingWatches() == Watches;
        },
        2s);
  }

  bool isEvacuated(const std::string &Domain) const {
    return comfreyrill::isEvacuated(CurrentState.evacuations(),
                                    FailureDomain(Domain));
  }

  void watchEvacuations() {
    Watcher->setHasEvacuations(true);
    Watches = 3;
  }

  bool isDraining(const std::string &Id) const {
    const auto &Targets = CurrentState.targets().Targets;
    const auto Position = Targets.find(TargetId(Id));
    return Position != Targets.end() &&
           Position->second.Registration.IsDraining;
  }

  // Connections that the loop still holds at the end refer to it.
  MessageMemory Messages{MessageMemoryLimits{}};
  asio::io_context Loop{1};
  ShiftedClock TimeSource;
  Log Output{LogLevel::Error, ""};
  RateLimitedLog Events{Output, TimeSource};
  Random Generator{20261204};
  ConnectionPool Pool{Loop.get_executor(), TimeSource, 5s};
  ConnectionPool StoreConnections{Loop.get_executor(), TimeSource, 5s};
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
  soak::ObjectStoreStandIn Store{Loop.get_executor(), TimeSource};
  std::optional<platform::StoreClient> Client;
  std::shared_ptr<StoreWatcher> Watcher;
  int Changes = 0;
  std::size_t Watches = 2;
};

// Guards against entries of other programs that make the list fail, at the
// start of a host or after it has lost the watch: the host would know no
// target, or follow no change any more.
TEST_F(StoreWatcherTest, ListHoldsAllButTheOddEntries) {
  Store.put("servers", "a", registration("ready"));
  for (const auto &[Name, Text] : oddEntries()) {
    Store.putText("servers", Name, Text);
    Store.putText("config", Name, Text);
  }
  Store.put("servers", "z", registration("ready"));
  ASSERT_TRUE(watchesWait());
  const auto &Targets = CurrentState.targets().Targets;
  EXPECT_EQ(Targets.size(), 2U);
  EXPECT_TRUE(Targets.contains(TargetId("a")));
  EXPECT_TRUE(Targets.contains(TargetId("z")));
  EXPECT_EQ(CurrentState.version().Value, 1U);
  EXPECT_EQ(ProcessMetrics.counter("store_entries_skipped_total"),
            oddEntries().size());
  EXPECT_EQ(ProcessMetrics.counter("store_failures_total"), 0U);
}

// Guards against entries of other programs that end the watch, and against a
// target that stays in use although its entry has become unreadable.
TEST_F(StoreWatcherTest, WatchGoesOnAfterOddEntries) {
  Store.put("servers", "a", registration("ready"));
  Store.put("servers", "b", registration("ready"));
  ASSERT_TRUE(watchesWait());
  const std::uint64_t Calls = Client->calls();
  for (const auto &[Name, Text] : oddEntries()) {
    Store.putText("servers", Name, Text);
    Store.putText("servers", "b", Text);
    ASSERT_TRUE(runUntil(
        [this] {
          return !CurrentState.targets().Targets.contains(TargetId("b"));
        },
        2s))
        << Name;
    Store.put("servers", "b", registration("ready"));
    ASSERT_TRUE(runUntil(
        [this] {
          return CurrentState.targets().Targets.contains(TargetId("b"));
        },
        2s))
        << Name;
  }
  Store.put("servers", "a", registration("draining"));
  EXPECT_TRUE(runUntil([this] { return isDraining("a"); }, 2s));
  EXPECT_EQ(CurrentState.targets().Targets.size(), 2U);
  EXPECT_EQ(ProcessMetrics.counter("store_failures_total"), 0U);
  EXPECT_EQ(ProcessMetrics.counter("store_watches_behind_total"), 0U);
  EXPECT_GT(Client->calls(), Calls);
}

// Guards against a watch that is taken for a deaf one, and listed again for
// ever, because the names in some of its events cannot be read.
TEST_F(StoreWatcherTest, EventsWithUnreadableNamesCountAsDelivered) {
  Store.put("servers", "a", registration("ready"));
  ASSERT_TRUE(watchesWait());
  // The first check is the base with which later ones are compared.
  runUntil([] { return false; }, 800ms);
  // The stand-in writes the text in place of the first occurrence of its mark,
  // which is the name here.
  for (int Count = 0; Count < 6; ++Count)
    Store.putText("servers", "text " + std::to_string(Count),
                  R"("\udcff)" + std::to_string(Count) + "\"");
  runUntil([] { return false; }, 3s);
  EXPECT_EQ(ProcessMetrics.counter("store_entries_skipped_total"), 6U);
  EXPECT_EQ(ProcessMetrics.counter("store_watches_behind_total"), 0U);
  Store.put("servers", "a", registration("draining"));
  EXPECT_TRUE(runUntil([this] { return isDraining("a"); }, 2s));
}

// Guards against a host that keeps the watcher role although the store no
// longer answers it.
TEST_F(StoreWatcherTest, SilentStoreIsNoticedWhileAWatchWaits) {
  ASSERT_TRUE(watchesWait());
  Store.inject(soak::StoreFault::Silent);
  EXPECT_TRUE(runUntil(
      [this] {
        return !Watcher->isStoreReachable() && !Watcher->isSynchronized();
      },
      1s));
}

// Guards against a takeover by a host that the store does not answer either.
TEST_F(StoreWatcherTest, CheckTellsWhetherTheStoreAnswers) {
  Watcher->setRole(StoreRole::Check);
  EXPECT_TRUE(runUntil(
      [this] { return Watcher->contact().LastAnswer.has_value(); }, 1s));
  EXPECT_FALSE(CurrentState.configuration());
  Store.inject(soak::StoreFault::Silent);
  EXPECT_TRUE(runUntil([this] { return !Watcher->isStoreReachable(); }, 1s));
}

// Guards against a slow store that is taken for a silent one.
TEST_F(StoreWatcherTest, SlowStoreStaysWatched) {
  ASSERT_TRUE(watchesWait());
  Store.inject(soak::StoreFault::Slow);
  runUntil([] { return false; }, 2s);
  EXPECT_EQ(ProcessMetrics.counter("store_failures_total"), 0U);
  EXPECT_TRUE(runUntil([this] { return Watcher->isSynchronized(); }, 1s));
}

// Guards against a watcher that does not catch up when the store answers again.
TEST_F(StoreWatcherTest, ChangeMadeDuringASilenceIsAppliedAfterIt) {
  ASSERT_TRUE(watchesWait());
  Store.inject(soak::StoreFault::Silent);
  runUntil([] { return false; }, 1200ms);
  Store.put("config", "main", configuration("r2"));
  Store.inject(soak::StoreFault::None);
  EXPECT_TRUE(
      runUntil([this] { return CurrentState.version().Value == 2; }, 2s));
  EXPECT_TRUE(runUntil([this] { return Watcher->isSynchronized(); }, 1s));
}

// Guards against a leaving target that stays in use because the revisions of a
// restored store are lower than before.
TEST_F(StoreWatcherTest, ChangesInARestoredStoreAreApplied) {
  Store.put("servers", "a", registration("ready"));
  const auto Copy = Store.copy();
  for (int Count = 0; Count < 20; ++Count)
    Store.put("servers", "b" + std::to_string(Count), registration("ready"));
  ASSERT_TRUE(watchesWait());
  Store.restore(Copy);
  Store.put("servers", "a", registration("draining"));
  EXPECT_TRUE(runUntil([this] { return isDraining("a"); }, 2s));
}

// Guards against a watch that goes on at a revision which the restored store
// has assigned to another change.
TEST_F(StoreWatcherTest, WatchAtAReassignedRevisionIsRepeatedByAList) {
  Store.put("servers", "a", registration("ready"));
  const auto Copy = Store.copy();
  Store.put("config", "main", configuration("r2"));
  ASSERT_TRUE(watchesWait());
  Store.restore(Copy);
  Store.put("servers", "a", registration("draining"));
  for (int Count = 0; Count < 5; ++Count)
    Store.put("servers", "b", registration("ready"));
  EXPECT_TRUE(runUntil([this] { return isDraining("a"); }, 2s));
  EXPECT_EQ(CurrentState.version().Value, 2U);
}

// Guards against watches that wait on at their revisions because the restore
// has cut none of them.
TEST_F(StoreWatcherTest, RestoreThatCutsNoWatchIsNoticed) {
  Store.put("servers", "a", registration("ready"));
  Store.put("servers", "b", registration("draining"));
  const auto Copy = Store.copy();
  Store.put("servers", "c", registration("ready"));
  ASSERT_TRUE(watchesWait());
  const StoreRevision Before = CurrentState.targets().Revision;
  Store.restore(Copy, true);
  EXPECT_TRUE(runUntil(
      [&] { return eraOf(CurrentState.targets().Revision) > eraOf(Before); },
      2s));
}

// Guards against a deaf watch of the targets after the watch of the
// configuration has noticed the restore.
TEST_F(StoreWatcherTest, RestoreThatCutsOneWatchIsNoticedByTheOther) {
  Store.put("servers", "a", registration("ready"));
  const auto Copy = Store.copy();
  Store.put("servers", "b", registration("ready"));
  Store.put("servers", "b", registration("ready"));
  ASSERT_TRUE(watchesWait());
  Store.restore(Copy, true);
  Store.put("servers", "a", registration("draining"));
  Store.put("config", "main", configuration("r2"));
  Store.put("config", "main", configuration("r3"));
  EXPECT_TRUE(runUntil([this] { return isDraining("a"); }, 2s));
}

// Guards against a removed target that stays in use because the store failed
// long before this host took the role over.
TEST_F(StoreWatcherTest, FormerOutageGivesMissingTargetsNoGracePeriod) {
  Store.put("servers", "a", registration("ready"));
  ASSERT_TRUE(watchesWait());
  Store.inject(soak::StoreFault::Unavailable);
  ASSERT_TRUE(runUntil([this] { return !Watcher->isStoreReachable(); }, 1s));
  Watcher->setRole(StoreRole::None);
  Store.inject(soak::StoreFault::None);
  TimeSource.advance(1min);
  Store.remove("servers", "a");
  Watcher->setRole(StoreRole::Watch);
  EXPECT_TRUE(
      runUntil([this] { return CurrentState.targets().Targets.empty(); }, 1s));
}

// Guards against a removed target that stays in use because the store has cut a
// watch, as it may at any time.
TEST_F(StoreWatcherTest, CutWatchGivesMissingTargetsNoGracePeriod) {
  Store.put("servers", "a", registration("ready"));
  ASSERT_TRUE(watchesWait());
  Store.inject(soak::StoreFault::Unavailable);
  Store.put("servers", "b", registration("ready"));
  ASSERT_TRUE(runUntil([this] { return Store.waitingWatches() == 0; }, 1s));
  Store.inject(soak::StoreFault::None);
  Store.remove("servers", "a");
  EXPECT_TRUE(runUntil(
      [this] {
        const auto &Targets = CurrentState.targets().Targets;
        return Targets.size() == 1 && Targets.contains(TargetId("b"));
      },
      1s));
}

// Guards against live targets that are removed because they could not renew
// their registrations during an outage.
TEST_F(StoreWatcherTest, OutageGivesMissingTargetsAGracePeriod) {
  Store.put("servers", "a", registration("ready"));
  ASSERT_TRUE(watchesWait());
  Store.inject(soak::StoreFault::Unavailable);
  Store.remove("servers", "a");
  runUntil([] { return false; }, 1500ms);
  Store.inject(soak::StoreFault::None);
  ASSERT_TRUE(watchesWait());
  EXPECT_TRUE(CurrentState.targets().Targets.contains(TargetId("a")));
}

// Guards against billed calls for evacuations in deployments that have none.
TEST_F(StoreWatcherTest, EvacuationsAreWatchedOnlyIfTheDeploymentHasThem) {
  Store.put("evacuations", "west", boost::json::object());
  ASSERT_TRUE(watchesWait());
  EXPECT_FALSE(isEvacuated("west"));
  // As after a reload of the settings.
  watchEvacuations();
  EXPECT_TRUE(runUntil(
      [this] { return isEvacuated("west") && Watcher->isSynchronized(); }, 1s));
  Watcher->setHasEvacuations(false);
  ASSERT_TRUE(runUntil([this] { return Watcher->isSynchronized(); }, 1s));
  Store.put("evacuations", "east", boost::json::object());
  Store.put("servers", "a", registration("draining"));
  EXPECT_TRUE(runUntil([this] { return isDraining("a"); }, 1s));
  EXPECT_FALSE(isEvacuated("east"));
}

// Guards against an evacuation that is not noticed, or whose end is not, and
// against entries whose specification another program has written.
TEST_F(StoreWatcherTest, EvacuationsFollowTheStore) {
  watchEvacuations();
  ASSERT_TRUE(watchesWait());
  Store.put("evacuations", "west", boost::json::object());
  Store.putText("evacuations", "east", "[7e999999]");
  EXPECT_TRUE(runUntil(
      [this] { return isEvacuated("west") && isEvacuated("east"); }, 1s));
  Store.remove("evacuations", "west");
  EXPECT_TRUE(runUntil([this] { return !isEvacuated("west"); }, 1s));
  EXPECT_TRUE(isEvacuated("east"));
  EXPECT_EQ(ProcessMetrics.counter("store_failures_total"), 0U);
}

// Guards against an evacuation that ends with an outage of the store, and
// against one whose end during the outage is not noticed after it.
TEST_F(StoreWatcherTest, EvacuationOutlastsAnOutage) {
  watchEvacuations();
  Store.put("evacuations", "west", boost::json::object());
  ASSERT_TRUE(watchesWait());
  Store.inject(soak::StoreFault::Unavailable);
  ASSERT_TRUE(runUntil([this] { return !Watcher->isSynchronized(); }, 2s));
  EXPECT_TRUE(isEvacuated("west"));
  Store.remove("evacuations", "west");
  Store.inject(soak::StoreFault::None);
  EXPECT_TRUE(runUntil([this] { return !isEvacuated("west"); }, 3s));
}

// Guards against an evacuation that ends because the store is restored from a
// copy that does not hold it, and against one that never ends after that.
TEST_F(StoreWatcherTest, EvacuationOutlastsARestore) {
  watchEvacuations();
  const auto Copy = Store.copy();
  Store.put("evacuations", "west", boost::json::object());
  ASSERT_TRUE(watchesWait());
  ASSERT_TRUE(isEvacuated("west"));
  const StoreRevision Before = CurrentState.evacuations().Revision;
  Store.restore(Copy);
  ASSERT_TRUE(runUntil(
      [&] {
        return eraOf(CurrentState.evacuations().Revision) > eraOf(Before);
      },
      3s));
  EXPECT_TRUE(isEvacuated("west"));
  ASSERT_TRUE(watchesWait());
  Store.put("evacuations", "west", boost::json::object());
  Store.remove("evacuations", "west");
  EXPECT_TRUE(runUntil([this] { return !isEvacuated("west"); }, 2s));
}

// Guards against watches of three kinds that make each other list again for
// ever, or that take the changes of the third one for missing ones.
TEST_F(StoreWatcherTest, ThreeWatchesSettle) {
  watchEvacuations();
  ASSERT_TRUE(watchesWait());
  for (int Count = 0; Count < 6; ++Count) {
    Store.put("evacuations", "west", boost::json::object());
    Store.put("servers", "a", registration("ready"));
    runUntil([] { return false; }, 400ms);
  }
  EXPECT_EQ(ProcessMetrics.counter("store_watches_behind_total"), 0U);
  EXPECT_EQ(ProcessMetrics.counter("store_failures_total"), 0U);
  const auto Copy = Store.copy();
  Store.restore(Copy);
  Store.put("evacuations", "east", boost::json::object());
  EXPECT_TRUE(runUntil([this] { return isEvacuated("east"); }, 3s));
  ASSERT_TRUE(watchesWait());
  const std::uint64_t Calls = Client->calls();
  runUntil([] { return false; }, 1s);
  // Two checks at most, and no list.
  EXPECT_LE(Client->calls(), Calls + 3);
}

} // namespace
} // namespace comfreyrill
