#include <LibGateway/RelayChoice.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

const TimePoint Now{std::chrono::hours(1)};
const Endpoint Near{"10.0.0.1", 80};
const Endpoint Far{"10.0.1.1", 80};

// Guards against requests that leave the failure domain without need, and
// against hosts that are asked again although they could not help.
TEST(RelayChoice, FitHostsOfThePreferredDomainComeFirst) {
  Random Generator{20261207};
  std::vector<RelayHost> Hosts{{Near, true}, {Far, false}};
  EXPECT_EQ(chooseRelayHost(Hosts, true, Now, Generator), Near);
  EXPECT_EQ(chooseRelayHost(Hosts, false, Now, Generator), Far);
  Hosts.front().UnfitUntil = Now + 1ms;
  EXPECT_EQ(chooseRelayHost(Hosts, true, Now, Generator), Far);
  Hosts.back().UnfitUntil = Now + 1ms;
  EXPECT_FALSE(chooseRelayHost(Hosts, true, Now, Generator));
  EXPECT_EQ(chooseRelayHost(Hosts, true, Now + 1ms, Generator), Near);
  EXPECT_FALSE(chooseRelayHost({}, true, Now, Generator));
}

// Guards against one host that gets all relayed requests.
TEST(RelayChoice, FitHostsAreUsedEvenly) {
  Random Generator{20261207};
  std::vector<RelayHost> Hosts;
  for (std::uint16_t Port = 0; Port < 4; ++Port)
    Hosts.push_back({{"10.0.0.1", Port}, true});
  std::vector<int> Counts(4);
  for (int Count = 0; Count < 4000; ++Count)
    ++Counts[chooseRelayHost(Hosts, true, Now, Generator)->Port];
  for (const int Count : Counts)
    EXPECT_NEAR(Count, 1000, 150);
}

} // namespace
} // namespace comfreyrill
