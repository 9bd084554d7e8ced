#include <LibOnce/WitnessChoice.h>

#include <gtest/gtest.h>

#include <map>

namespace comfreyrill {
namespace {

WitnessCandidate peer(const char *Host, const char *Domain, bool Ready = true) {
  return {{HostId(Host), HostIncarnation{7}}, FailureDomain(Domain), Ready};
}

const HostId Self("self");
const FailureDomain OwnDomain("a");

// Guards against an issuer that is its own witness, so that both are lost at
// once.
TEST(WitnessChoice, NeverPicksTheIssuer) {
  Random Generator(1);
  std::vector<WitnessCandidate> Peers{peer("self", "a"), peer("self", "b")};
  WitnessChoice Choice = chooseWitness(Peers, Self, OwnDomain,
                                       WitnessPlacement::SameDomain, Generator);
  EXPECT_EQ(Choice.Kind, WitnessChoiceKind::NoPeer);
  EXPECT_FALSE(Choice.Witness.has_value());
}

// Guards against a witness that is not ready, and against one that does not
// match the placement although another peer does.
TEST(WitnessChoice, PrefersReadyPeersThatMatchThePlacement) {
  Random Generator(1);
  std::vector<WitnessCandidate> Peers{peer("near-leaving", "a", false),
                                      peer("far-leaving", "b", false),
                                      peer("near", "a"), peer("far", "b")};
  for (int Round = 0; Round < 100; ++Round) {
    WitnessChoice Choice = chooseWitness(
        Peers, Self, OwnDomain, WitnessPlacement::SameDomain, Generator);
    EXPECT_EQ(Choice.Kind, WitnessChoiceKind::PreferredPlacement);
    EXPECT_EQ(Choice.Witness->Host, HostId("near"));
    Choice = chooseWitness(Peers, Self, OwnDomain,
                           WitnessPlacement::OtherDomain, Generator);
    EXPECT_EQ(Choice.Kind, WitnessChoiceKind::PreferredPlacement);
    EXPECT_EQ(Choice.Witness->Host, HostId("far"));
  }
}

// Guards against keys without a witness while a peer is ready.
TEST(WitnessChoice, FallsBackToTheOtherPlacement) {
  Random Generator(1);
  std::vector<WitnessCandidate> Peers{peer("far", "b")};
  WitnessChoice Choice = chooseWitness(Peers, Self, OwnDomain,
                                       WitnessPlacement::SameDomain, Generator);
  EXPECT_EQ(Choice.Kind, WitnessChoiceKind::FallbackPlacement);
  EXPECT_EQ(Choice.Witness->Host, HostId("far"));
}

// Guards against a single peer that becomes the witness of most keys.
TEST(WitnessChoice, SpreadsKeysEvenly) {
  Random Generator(20261204);
  std::vector<WitnessCandidate> Peers{peer("h1", "a"), peer("h2", "a"),
                                      peer("h3", "a"), peer("h4", "a")};
  std::map<std::string, int> Counts;
  for (int Round = 0; Round < 40'000; ++Round)
    ++Counts[chooseWitness(Peers, Self, OwnDomain, WitnessPlacement::SameDomain,
                           Generator)
                 .Witness->Host.Value];
  ASSERT_EQ(Counts.size(), 4U);
  for (const auto &[Host, Count] : Counts)
    EXPECT_NEAR(Count, 10'000, 500) << Host;
}

} // namespace
} // namespace comfreyrill
