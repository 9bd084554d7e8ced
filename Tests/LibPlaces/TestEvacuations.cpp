#include <LibPlaces/Evacuations.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

const FailureDomain East("east");
const FailureDomain West("west");

EvacuationReport report(std::uint64_t Era, std::uint64_t Number,
                        std::set<FailureDomain> Domains) {
  return {makeRevision(Era, Number), std::move(Domains), true};
}

// Guards against an evacuation that a late report of another host ends or
// begins again.
TEST(Evacuations, OlderReportsAreIgnored) {
  EvacuationView View;
  applyReport(View, report(1, 10, {East}));
  applyReport(View, report(1, 9, {}));
  EXPECT_TRUE(isEvacuated(View, East));
  applyChange(View, {makeRevision(1, 9), East, false});
  EXPECT_TRUE(isEvacuated(View, East));
  applyReport(View, report(1, 12, {}));
  EXPECT_FALSE(isEvacuated(View, East));
  applyReport(View, report(1, 11, {East}));
  EXPECT_FALSE(isEvacuated(View, East));
}

// Guards against an evacuation that ends because some entries of a list could
// not be read.
TEST(Evacuations, IncompleteListEndsNoEvacuation) {
  EvacuationView View;
  applyReport(View, report(1, 10, {East}));
  applyReport(View, {makeRevision(1, 11), {West}, false});
  EXPECT_EQ(evacuatedDomains(View), (std::set{East, West}));
  applyReport(View, report(1, 12, {West}));
  EXPECT_EQ(evacuatedDomains(View), std::set{West});
}

// Guards against an evacuation that ends because the store was restored from a
// copy that does not hold it, and against one that never ends after that.
TEST(Evacuations, RestoredStoreEndsAnEvacuationOnlyByARemoval) {
  EvacuationView View;
  applyReport(View, report(1, 10, {East}));
  applyReport(View, report(2, 5, {}));
  EXPECT_TRUE(isEvacuated(View, East));
  applyReport(View, report(2, 6, {}));
  EXPECT_TRUE(isEvacuated(View, East));
  applyChange(View, {makeRevision(2, 7), East, true});
  EXPECT_TRUE(isEvacuated(View, East));
  applyChange(View, {makeRevision(2, 8), East, false});
  EXPECT_FALSE(isEvacuated(View, East));
  applyReport(View, report(2, 0, {East}));
  EXPECT_FALSE(isEvacuated(View, East));

  applyReport(View, report(2, 9, {West}));
  applyReport(View, report(3, 4, {}));
  applyChange(View, {makeRevision(3, 5), West, false});
  EXPECT_FALSE(isEvacuated(View, West));
}

// Guards against a host that has started after a restore and does not learn of
// the evacuation that the copy has lost, or ends it at other hosts.
TEST(Evacuations, ReportsHoldWhatIsCarriedOver) {
  EvacuationView Known;
  applyReport(Known, report(1, 10, {East}));
  applyReport(Known, report(2, 5, {West}));
  EvacuationView Started;
  applyReport(Started, report(2, 8, {West}));
  for (const EvacuationReport &Report : makeReports(Known))
    applyReport(Started, Report);
  EXPECT_EQ(evacuatedDomains(Started), (std::set{East, West}));
  for (const EvacuationReport &Report : makeReports(Started))
    applyReport(Known, Report);
  EXPECT_EQ(evacuatedDomains(Known), (std::set{East, West}));
  EXPECT_TRUE(makeReports(EvacuationView{}).empty());
}

} // namespace
} // namespace comfreyrill
