#include "Domain.h"

#include <LibMembership/DomainTable.h>
#include <LibMembership/HeartbeatProcessing.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;
using namespace test;

// Guards against a domain in which no host is a delegate, or all hosts are.
TEST(DomainTable, TwoHostsAreDelegatesOfTheirDomain) {
  const auto Hosts = domainOf("west", 7);
  std::size_t Delegates = 0;
  for (const HostDescription &Self : Hosts)
    Delegates += isDelegate(tableOf(Self, Hosts), Start) ? 1 : 0;
  EXPECT_EQ(Delegates, 2U);
  EXPECT_TRUE(isDelegate(tableOf(Hosts[0], {}), Start));
}

// Guards against hosts of another domain that are handed out after that domain
// has become unreachable.
TEST(DomainTable, HostsOfASilentDomainAreNotHandedOut) {
  const MemberTable West = tableOf(host("w", "west", 1), {});
  DomainTable Table;
  DomainReport Report;
  Report.Domain = FailureDomain("east");
  Report.Sender = {"10.0.0.2", 9};
  Report.Digest = 5;
  Report.Hosts = {
      {HostId("e"), {"10.0.0.2", 9}, {"10.0.0.2", 10}, HostState::Ready},
      {HostId("f"), {"10.0.0.3", 9}, {"10.0.0.3", 10}, HostState::Leaving}};
  EXPECT_EQ(processDomainReport(Table, West, Report, Start),
            ReportVerdict::Changed);
  EXPECT_EQ(remoteHosts(Table, Start).size(), 1U);
  EXPECT_EQ(remoteHostCount(Table), 2U);
  EXPECT_EQ(reachableHostCount(Table, Start), 2U);
  EXPECT_TRUE(remoteHosts(Table, Start + 4s).empty());
  EXPECT_EQ(reachableHostCount(Table, Start + 4s), 0U);
}

// Guards against reports that always carry all hosts, and against a receiver
// that never learns of the hosts after a lost report.
TEST(DomainTable, HostsAreSentWhenTheReceiverNeedsThem) {
  const MemberTable West = tableOf(host("w", "west", 1), {});
  const MemberTable East = tableOf(host("e", "east", 2), {});
  DomainTable WestTable;
  DomainTable EastTable;
  addSeedContact(WestTable, East.Self);
  TimePoint Now = Start;
  const auto First = dueReports(WestTable, West, Now);
  ASSERT_EQ(First.size(), 1U);
  EXPECT_TRUE(First.front().Content.Hosts);
  // The first report is lost. The second has no hosts, so east requests them.
  Now += 1s;
  const auto Second = dueReports(WestTable, West, Now);
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_FALSE(Second.front().Content.Hosts);
  processDomainReport(EastTable, East, Second.front().Content, Now);
  addSeedContact(EastTable, West.Self);
  const auto Asked = dueReports(EastTable, East, Now);
  ASSERT_EQ(Asked.size(), 1U);
  EXPECT_TRUE(Asked.front().Content.WantsHosts);
  processDomainReport(WestTable, West, Asked.front().Content, Now);
  Now += 1s;
  const auto Third = dueReports(WestTable, West, Now);
  ASSERT_FALSE(Third.empty());
  EXPECT_TRUE(Third.front().Content.Hosts);
}

TEST(DomainTable, OwnDomainIsIgnored) {
  const MemberTable West = tableOf(host("w", "west", 1), {});
  DomainTable Table;
  DomainReport Report;
  Report.Domain = FailureDomain("west");
  EXPECT_EQ(processDomainReport(Table, West, Report, Start),
            ReportVerdict::Ignored);
  EXPECT_TRUE(Table.Domains.empty());
}

DomainReport reportOf(const std::string &Domain, std::uint16_t Port,
                      std::uint64_t Manifest) {
  DomainReport Report;
  Report.Domain = FailureDomain(Domain);
  Report.Sender = {"10.0.0.2", Port};
  Report.Manifest.Value = Manifest;
  return Report;
}

// Guards against a domain without access to the store that keeps an old
// configuration because its only fetch from another domain was lost. A rule was
// violated after three seconds in that state.
TEST(DomainTable, LostFetchIsRepeatedFromAnotherDomain) {
  const MemberTable West = tableOf(host("w", "west", 1), {});
  DomainTable Table;
  processDomainReport(Table, West, reportOf("east", 5, 8), Start);
  processDomainReport(Table, West, reportOf("north", 6, 8), Start);
  processDomainReport(Table, West, reportOf("south", 7, 2), Start);
  std::vector<std::uint16_t> Asked;
  for (Duration Past{0}; Past < 1s; Past += 50ms)
    if (const auto Source =
            chooseRemoteSource(Table, DocumentKind::Manifest, 2, Start + Past))
      Asked.push_back(Source->Port);
  EXPECT_EQ(Asked, (std::vector<std::uint16_t>{5, 6, 5}));
}

// Guards against traffic between domains for changes that a domain learns from
// the store a moment later by itself.
TEST(DomainTable, OtherDomainsAreAskedOnlyAfterTheLagTolerance) {
  const MemberTable West = tableOf(host("w", "west", 1), {});
  DomainTable Table;
  const auto IsAsking = [&](std::uint64_t OwnNumber, Duration Past) {
    return chooseRemoteSource(Table, DocumentKind::Manifest, OwnNumber,
                              Start + Past)
        .has_value();
  };
  processDomainReport(Table, West, reportOf("east", 5, 8), Start);
  EXPECT_FALSE(IsAsking(2, 0ms));
  EXPECT_FALSE(IsAsking(8, 100ms));
  processDomainReport(Table, West, reportOf("east", 5, 9), Start + 200ms);
  EXPECT_FALSE(IsAsking(8, 300ms));
  EXPECT_TRUE(IsAsking(8, 600ms));
}

// Guards against a delay of half a second before domains without access to the
// store learn of a new manifest.
TEST(DomainTable, NewManifestIsReportedAtOnce) {
  MemberTable West = tableOf(host("w", "west", 1), {});
  DomainTable Table;
  addSeedContact(Table, host("e", "east", 2));
  EXPECT_EQ(dueReports(Table, West, Start).size(), 1U);
  EXPECT_TRUE(dueReports(Table, West, Start + 10ms).empty());
  announceManifestNumber(West, {4}, Start + 20ms);
  EXPECT_EQ(dueReports(Table, West, Start + 20ms).size(), 1U);
  EXPECT_TRUE(dueReports(Table, West, Start + 30ms).empty());
}

} // namespace
} // namespace comfreyrill
