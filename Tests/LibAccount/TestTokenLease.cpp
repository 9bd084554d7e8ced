#include <LibAccount/TokenLease.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Now{1h};

void addDemand(TokenLease &Lease, int Requests) {
  for (int Index = 0; Index < Requests; ++Index)
    recordDemand(Lease.Demand, Now - 1s * Index / Requests);
}

// Guards against tokens that are used after their lifetime, for example by a
// host that was frozen.
TEST(TokenLeaseTest, TokensAreVoidAfterTheirLifetime) {
  TokenLease Lease;
  addTokens(Lease, 2, TokenLifetime, Now, Now + 30ms);
  EXPECT_TRUE(takeToken(Lease, Now + 499ms));
  EXPECT_FALSE(takeToken(Lease, Now + 500ms));
  EXPECT_EQ(Lease.VoidTokens, 1U);
  // The response has arrived too late to be of any use.
  addTokens(Lease, 3, TokenLifetime, Now, Now + 2s);
  EXPECT_FALSE(takeToken(Lease, Now + 2s));
  EXPECT_EQ(Lease.VoidTokens, 4U);
}

// Guards against an owner of another version whose tokens live for longer than
// the quota allows.
TEST(TokenLeaseTest, LifetimeIsBounded) {
  TokenLease Lease;
  addTokens(Lease, 1, 1h, Now, Now);
  EXPECT_FALSE(takeToken(Lease, Now + TokenLifetime));
}

// Guards against tokens that expire although older ones could have been used
// first.
TEST(TokenLeaseTest, TokenThatExpiresFirstIsUsedFirst) {
  TokenLease Lease;
  addTokens(Lease, 1, TokenLifetime, Now + 100ms, Now + 100ms);
  addTokens(Lease, 1, TokenLifetime, Now, Now + 100ms);
  EXPECT_TRUE(takeToken(Lease, Now + 499ms));
  EXPECT_TRUE(takeToken(Lease, Now + 550ms));
}

// Guards against a rejected request that costs its account a token, and against
// a token that lives for ever because it is returned again and again.
TEST(TokenLeaseTest, ReturnedTokenKeepsItsLifetime) {
  TokenLease Lease;
  addTokens(Lease, 1, TokenLifetime, Now, Now);
  for (Duration Time = 400ms; Time < 500ms; Time += 10ms) {
    EXPECT_TRUE(takeToken(Lease, Now + Time));
    returnToLease(Lease, Now + Time);
  }
  EXPECT_FALSE(takeToken(Lease, Now + 500ms));
  // A token that was taken long before the last one expires soon.
  addTokens(Lease, 1, TokenLifetime, Now, Now);
  EXPECT_TRUE(takeToken(Lease, Now));
  returnToLease(Lease, Now);
  EXPECT_FALSE(takeToken(Lease, Now + 100ms));
}

// Guards against batches that make the rate of a rare account expire unused.
TEST(TokenLeaseTest, RareRequestsTakeOneToken) {
  TokenLease Lease;
  Lease.Waiting = 1;
  addDemand(Lease, 5);
  EXPECT_EQ(wantedTokens(Lease, Now), 1);
  EXPECT_FALSE(isRunningLow(Lease, Now));
}

// Guards against a message for each request of a host with many of them.
TEST(TokenLeaseTest, FrequentRequestsTakeBatches) {
  TokenLease Lease;
  Lease.Waiting = 3;
  addDemand(Lease, 100);
  EXPECT_EQ(wantedTokens(Lease, Now), 22);
  EXPECT_TRUE(isRunningLow(Lease, Now));
  addTokens(Lease, 19, TokenLifetime, Now, Now);
  EXPECT_FALSE(isRunningLow(Lease, Now));
  Lease.Waiting = 0;
  EXPECT_EQ(wantedTokens(Lease, Now), 1);
  // Demand of more than a second ago is no reason for a batch.
  EXPECT_EQ(wantedTokens(Lease, Now + 2s), 1);
}

// Guards against hosts without an owner that together exceed the quota, at
// once or in the long run, or that reject everything.
TEST(TokenLeaseTest, FallbackSharesGrantTheRateTogether) {
  Random Generator(20261206);
  constexpr std::size_t Hosts = 121;
  std::vector<FallbackShare> Shares(Hosts);
  int AtOnce = 0;
  for (FallbackShare &Share : Shares)
    AtOnce += !takeFallbackToken(Share, 50, Hosts, Generator, Now);
  EXPECT_LE(AtOnce, 20);
  int Granted = AtOnce;
  for (Duration Time = 10ms; Time <= 5s; Time += 10ms)
    for (FallbackShare &Share : Shares)
      Granted += !takeFallbackToken(Share, 50, Hosts, Generator, Now + Time);
  EXPECT_GE(Granted, 220);
  EXPECT_LE(Granted, 290);
  // A host alone, or one of few, begins with a token.
  FallbackShare Few;
  EXPECT_FALSE(takeFallbackToken(Few, 1, 3, Generator, Now));
  EXPECT_TRUE(takeFallbackToken(Few, 1, 3, Generator, Now));
}

// Guards against a share that is saved up while an owner grants the rate.
TEST(TokenLeaseTest, FallbackShareIsNotSavedUp) {
  Random Generator(20261206);
  TokenLease Lease;
  EXPECT_FALSE(takeFallbackToken(Lease.Fallback, 1, 1, Generator, Now));
  addTokens(Lease, 1, TokenLifetime, Now, Now);
  EXPECT_TRUE(takeFallbackToken(Lease.Fallback, 1, 1, Generator, Now + 2s));
}

} // namespace
} // namespace comfreyrill
