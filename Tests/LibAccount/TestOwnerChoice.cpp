#include <LibAccount/OwnerChoice.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Now{1h};

FleetView viewOf(std::size_t Hosts) {
  FleetView View;
  View.Self = HostId("h0");
  for (std::size_t Index = 0; Index < Hosts; ++Index) {
    const HostId Host("h" + std::to_string(Index));
    View.Candidates.push_back({Host, {}, ownerHash(Host)});
  }
  return View;
}

AccountName account(std::size_t Index) {
  return AccountName("a" + std::to_string(Index));
}

// Guards against hosts that choose different owners because they learned of the
// others in a different order.
TEST(OwnerChoice, OrderOfHostsDoesNotMatter) {
  const FleetView View = viewOf(30);
  FleetView Reversed = View;
  std::reverse(Reversed.Candidates.begin(), Reversed.Candidates.end());
  for (std::size_t Index = 0; Index < 100; ++Index)
    EXPECT_EQ(chooseOwner(View, account(Index), {}, Now)->Host,
              chooseOwner(Reversed, account(Index), {}, Now)->Host);
}

// Guards against a host that owns most accounts, and against many changes of
// owners when one host is lost.
TEST(OwnerChoice, OwnersAreSpreadAndMostlyStay) {
  const FleetView View = viewOf(20);
  FleetView Smaller = View;
  Smaller.Candidates.erase(Smaller.Candidates.begin() + 7);
  std::map<HostId, int> Counts;
  for (std::size_t Index = 0; Index < 2000; ++Index) {
    const HostId Owner = chooseOwner(View, account(Index), {}, Now)->Host;
    ++Counts[Owner];
    if (Owner != HostId("h7")) {
      EXPECT_EQ(chooseOwner(Smaller, account(Index), {}, Now)->Host, Owner);
    }
  }
  EXPECT_EQ(Counts.size(), 20U);
  for (const auto &[Host, Count] : Counts)
    EXPECT_LE(Count, 150) << Host.Value;
}

// Guards against an owner that is asked again although it does not respond, and
// against one that is never asked again.
TEST(OwnerChoice, SkippedOwnerIsReplacedForAWhile) {
  const FleetView View = viewOf(5);
  const HostId First = chooseOwner(View, account(1), {}, Now)->Host;
  const SkippedOwners Skipped{{First, Now + 1s}};
  EXPECT_NE(chooseOwner(View, account(1), Skipped, Now)->Host, First);
  EXPECT_EQ(chooseOwner(View, account(1), Skipped, Now + 1s)->Host, First);
  SkippedOwners All;
  for (const OwnerCandidate &Candidate : View.Candidates)
    All[Candidate.Host] = Now + 1s;
  EXPECT_EQ(chooseOwner(View, account(1), All, Now), nullptr);
}

// Guards against a share of nothing or of more than everything while the number
// of hosts is not known.
TEST(OwnerChoice, LiveShareIsBounded) {
  FleetView View;
  View.LiveHosts = 0;
  View.KnownHosts = 1000;
  EXPECT_DOUBLE_EQ(liveShare(View), 0.001);
  View.LiveHosts = 3;
  View.KnownHosts = 2;
  EXPECT_DOUBLE_EQ(liveShare(View), 1);
}

} // namespace
} // namespace comfreyrill
