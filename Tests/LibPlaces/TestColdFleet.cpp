#include <LibPlaces/ColdShare.h>
#include <LibPlaces/TargetShares.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr Duration Step = 25ms;
const TargetId Target("i-7");
const FailureDomain West("west");
// Hosts that join hear of the others, and the others of them, within this time.
constexpr Duration DiscoveryTime = 1500ms;
// Requests that one host receives at the same time.
constexpr int TriesMaximum = 4;

/// One host of the domain, as the fleet below runs it.
struct FleetHost {
  HostId Id;
  TargetShareTable Table{coldShare};
  TimePoint StartedAt;
  TimePoint JoinedAt;
  TimePoint FrozenUntil = TimePoint::min();
  bool IsIsolated = false;
  /// Hosts that this one takes for lost, rightly or not.
  std::set<HostId> Lost;
};

/// Hosts that send to one cold target whenever their limits let them.
struct ColdFleet {
  double Rate = 6;
  TimePoint Now{1h};
  std::vector<FleetHost> Hosts;
  std::vector<TimePoint> SentAt;
  std::size_t Joins = 0;

  void join(TimePoint JoinedAt) {
    FleetHost Joined;
    Joined.Id = HostId("edge-" + std::to_string(Joins++));
    Joined.StartedAt = Joined.JoinedAt = JoinedAt;
    Hosts.push_back(std::move(Joined));
  }

  DomainHosts viewOf(const FleetHost &Viewer) const {
    DomainHosts View;
    View.Self = Viewer.Id;
    View.Domain = West;
    View.IsIsolated = Viewer.IsIsolated;
    for (const FleetHost &Other : Hosts) {
      const bool IsDiscovered = Now - Other.JoinedAt >= DiscoveryTime &&
                                Now - Viewer.StartedAt >= DiscoveryTime;
      if (Other.Id != Viewer.Id && IsDiscovered)
        View.Others.push_back({Other.Id, !Viewer.Lost.contains(Other.Id)});
    }
    return View;
  }

  void step() {
    Now += Step;
    for (FleetHost &Host : Hosts) {
      if (Now < Host.FrozenUntil)
        continue;
      // A host that resumes may send a request before anything else happens.
      for (int Round = 0; Round < 2; ++Round) {
        for (int Tries = 0;
             Tries < TriesMaximum &&
             judgeShare(Host.Table, Target, West, Rate, Now).IsAdmitted;
             ++Tries) {
          recordRequest(Host.Table, Target, Now);
          SentAt.push_back(Now);
        }
        updateHosts(Host.Table, viewOf(Host), Now);
      }
    }
  }

  /// Largest number of requests in any one second.
  std::size_t peak() const {
    std::size_t Most = 0;
    for (auto First = SentAt.begin(); First != SentAt.end(); ++First)
      Most = std::max(
          Most,
          static_cast<std::size_t>(
              std::lower_bound(First, SentAt.end(), *First + 1s) - First));
    return Most;
  }
};

// Guards against a cold target that crashes under the requests of all hosts
// together (invariant 6), whatever each host thinks of the others.
RC_GTEST_PROP(ColdFleet, TargetNeverGetsMoreThanItBears, ()) {
  ColdFleet Fleet;
  Fleet.Rate = *rc::gen::element(1.0, 2.0, 3.5, 6.0, 6.0, 6.0, 7.0, 12.0, 20.0);
  const auto Count = *rc::gen::inRange<std::size_t>(1, 41);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.join(Fleet.Now - 1min);
  const auto Events = *rc::gen::inRange(0, 60);
  const auto Pick = [&]() -> FleetHost & {
    return Fleet.Hosts[*rc::gen::inRange<std::size_t>(0, Fleet.Hosts.size())];
  };
  for (int Steps = 0; Steps < 90; ++Steps)
    Fleet.step();
  for (int Event = 0; Event < Events; ++Event) {
    FleetHost &Host = Pick();
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
      Host.FrozenUntil = Fleet.Now + *rc::gen::inRange(1, 200) * Step;
      break;
    case 1:
      Host.Table = TargetShareTable{coldShare};
      Host.StartedAt = Fleet.Now;
      break;
    case 2:
      Fleet.join(Fleet.Now);
      break;
    case 3:
      Host.IsIsolated = !Host.IsIsolated;
      break;
    case 4: {
      // A part of the hosts, or all of them, takes the others for lost.
      const auto Share = *rc::gen::inRange(0, 5);
      Host.Lost.clear();
      for (const FleetHost &Other : Fleet.Hosts)
        if (*rc::gen::inRange(0, 4) < Share)
          Host.Lost.insert(Other.Id);
      break;
    }
    case 5:
      // All hosts are cut off from each other.
      for (FleetHost &Each : Fleet.Hosts)
        for (const FleetHost &Other : Fleet.Hosts)
          Each.Lost.insert(Other.Id);
      break;
    }
    const auto Steps = *rc::gen::inRange(0, 40);
    for (int Passed = 0; Passed < Steps; ++Passed)
      Fleet.step();
  }
  for (int Steps = 0; Steps < 120; ++Steps)
    Fleet.step();
  RC_ASSERT(static_cast<double>(Fleet.peak()) <= Fleet.Rate * 1.5 + 8);
}

// Guards against limits that hold because the budget is left unused.
TEST(ColdFleet, BudgetIsUsedWhileTheHostsAgree) {
  ColdFleet Fleet;
  for (int Index = 0; Index < 40; ++Index)
    Fleet.join(Fleet.Now - 1min);
  for (int Steps = 0; Steps < 480; ++Steps)
    Fleet.step();
  // 12 s, of which the hosts wait 2 s.
  EXPECT_GE(Fleet.SentAt.size(), 57U);
  EXPECT_LE(Fleet.peak(), 6U);
}

} // namespace
} // namespace comfreyrill
