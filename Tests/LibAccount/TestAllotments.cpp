#include <LibAccount/TokenPreview.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
constexpr TimePoint Now = Start + 1min;

class AllotmentsTest : public testing::Test {
protected:
  AllotmentsTest() : State(makeAllotments(HostId("h0"), Start)) {
    updateView(State, view(5), Start);
    State.LastTick = Now;
    Other = account(false);
    Own = account(true);
  }

  static FleetView view(std::size_t Hosts) {
    FleetView View;
    View.Self = HostId("h0");
    View.LiveHosts = Hosts;
    View.KnownHosts = Hosts;
    for (std::size_t Index = 0; Index < Hosts; ++Index) {
      const HostId Host("h" + std::to_string(Index));
      View.Candidates.push_back({Host, {}, ownerHash(Host)});
    }
    return View;
  }

  ClientAccount account(bool IsOwn) const {
    for (int Index = 0;; ++Index) {
      const AccountName Name("a" + std::to_string(Index));
      if ((ownerPosition(State.View, Name) == 0) == IsOwn)
        return {Name, {}, 100, 10};
    }
  }

  TokenDecision acquire(const ClientAccount &Holder, TimePoint Time) {
    TokenLease &Lease = beginAcquire(State, Holder.Name, Time);
    return decide(State, Lease, Holder, Time + TokenWaitMaximum, Generator,
                  Time);
  }

  Allotments State;
  ClientAccount Other;
  ClientAccount Own;
  Random Generator{1};
};

// Guards against messages of a host to itself.
TEST_F(AllotmentsTest, OwnerTakesFromItsBucket) {
  for (int Request = 0; Request < 10 + static_cast<int>(BurstTolerance);
       ++Request)
    EXPECT_EQ(acquire(Own, Now).Step, TokenStep::Taken);
  const TokenDecision Refused = acquire(Own, Now);
  EXPECT_EQ(Refused.Step, TokenStep::Refused);
  EXPECT_GE(Refused.RetryAfter, 9ms);
  returnToken(State, Own.Name, Now);
  EXPECT_EQ(acquire(Own, Now).Step, TokenStep::Taken);
}

// Guards against more than one request in flight for one account.
TEST_F(AllotmentsTest, CallersShareOneRequest) {
  const TokenDecision First = acquire(Other, Now);
  ASSERT_EQ(First.Step, TokenStep::Ask);
  TokenLease &Lease = State.Leases.at(Other.Name);
  beginRequest(State, Lease, First.Owner.Host, Now);
  EXPECT_EQ(acquire(Other, Now + 10ms).Step, TokenStep::Await);
  onResponse(State, Lease, *Lease.Pending, {1, TokenLifetime, {}}, Now + 20ms);
  EXPECT_EQ(acquire(Other, Now + 20ms).Step, TokenStep::Taken);
  EXPECT_EQ(acquire(Other, Now + 20ms).Step, TokenStep::Ask);
}

// Guards against a message for each request while the owner has no tokens.
TEST_F(AllotmentsTest, RefusalHoldsUntilItsTime) {
  const TokenDecision First = acquire(Other, Now);
  TokenLease &Lease = State.Leases.at(Other.Name);
  beginRequest(State, Lease, First.Owner.Host, Now);
  onResponse(State, Lease, *Lease.Pending, {0, {}, 300ms}, Now);
  const TokenDecision Refused = acquire(Other, Now + 100ms);
  EXPECT_EQ(Refused.Step, TokenStep::Refused);
  EXPECT_EQ(Refused.RetryAfter, 200ms);
  EXPECT_EQ(acquire(Other, Now + 300ms).Step, TokenStep::Ask);
}

// Guards against a silent owner that makes every request wait, and against one
// that was only slow and stays skipped.
TEST_F(AllotmentsTest, SilentOwnerIsSkippedUntilItResponds) {
  const TokenDecision First = acquire(Other, Now);
  TokenLease &Lease = State.Leases.at(Other.Name);
  beginRequest(State, Lease, First.Owner.Host, Now);
  const PendingTokenRequest Sent = *Lease.Pending;
  EXPECT_FALSE(expireRequest(State, Lease, Now + 39ms));
  EXPECT_EQ(expireRequest(State, Lease, Now + 40ms), First.Owner.Host);
  const TokenDecision Second = acquire(Other, Now + 40ms);
  EXPECT_TRUE(Second.Step != TokenStep::Ask ||
              Second.Owner.Host != First.Owner.Host);
  onResponse(State, Lease, Sent, {2, TokenLifetime, {}}, Now + 60ms);
  EXPECT_EQ(acquire(Other, Now + 60ms).Step, TokenStep::Taken);
  EXPECT_TRUE(State.Skipped.empty());
}

// Guards against requests that are rejected because a host without tokens was
// asked in place of a slow owner, also after the owner has responded.
TEST_F(AllotmentsTest, RefusalInPlaceOfASlowOwnerIsNotFinal) {
  const TokenDecision First = acquire(Other, Now);
  TokenLease &Lease = State.Leases.at(Other.Name);
  beginRequest(State, Lease, First.Owner.Host, Now);
  const PendingTokenRequest Sent = *Lease.Pending;
  expireRequest(State, Lease, Now + OwnerTimeout);
  beginRequest(State, Lease, HostId("h9"), Now + OwnerTimeout);
  onResponse(State, Lease, *Lease.Pending, {0, {}, 900ms}, Now + 42ms);
  EXPECT_EQ(
      decide(State, Lease, Other, Now + TokenWaitMaximum, Generator, Now + 42ms)
          .Step,
      TokenStep::Await);
  EXPECT_EQ(awaitsUntil(Lease), Now + TokenWaitMaximum);
  EXPECT_EQ(decide(State, Lease, Other, Now + TokenWaitMaximum, Generator,
                   Now + TokenWaitMaximum)
                .Step,
            TokenStep::Refused);
  onResponse(State, Lease, Sent, {1, TokenLifetime, {}}, Now + 150ms);
  EXPECT_EQ(acquire(Other, Now + 150ms).Step, TokenStep::Taken);
  EXPECT_EQ(acquire(Other, Now + 150ms).Step, TokenStep::Ask);
}

// Guards against requests that wait for one owner after another.
TEST_F(AllotmentsTest, WaitEndsWithTheFallback) {
  TokenLease &Lease = beginAcquire(State, Other.Name, Now);
  const TokenDecision Late =
      decide(State, Lease, Other, Now + 29ms, Generator, Now);
  EXPECT_NE(Late.Step, TokenStep::Ask);
  EXPECT_EQ(Late.Source, TokenSource::Fallback);
  // The owner may respond to other hosts: the share is that of a reduced rate,
  // 12 of 100 tokens per second for 5 hosts.
  const TokenDecision Next =
      decide(State, Lease, Other, Now + 29ms, Generator, Now);
  EXPECT_EQ(Next.Step, TokenStep::Refused);
  EXPECT_GE(Next.RetryAfter, 400ms);
}

// Guards against callers that are told to come back long after the owner can be
// asked again, and against all of them coming back at that moment.
TEST_F(AllotmentsTest, FallbackRefusalEndsWithItsCause) {
  FleetView Large = State.View;
  Large.KnownHosts = 500;
  updateView(State, Large, Now);
  Other.Rate = 3;
  for (const OwnerCandidate &Known : State.View.Candidates)
    State.Skipped[Known.Host] = Now + 400ms;
  std::set<Duration> Times;
  for (int Request = 0; Request < 5; ++Request) {
    const TokenDecision Decision = acquire(Other, Now);
    if (Decision.Step != TokenStep::Refused)
      continue;
    EXPECT_GE(Decision.RetryAfter, 400ms);
    EXPECT_LE(Decision.RetryAfter, 650ms);
    Times.insert(Decision.RetryAfter);
  }
  EXPECT_GE(Times.size(), 4U);
}

// Guards against a new host that takes itself for the owner of everything.
TEST_F(AllotmentsTest, NewHostUsesTheFallback) {
  State.Started = Now - 200ms;
  updateView(State, view(1), Now);
  EXPECT_EQ(acquire(Own, Now).Source, TokenSource::Fallback);
}

// Guards against a burst by a host that was frozen while another host was the
// owner, and against tokens that it held before.
TEST_F(AllotmentsTest, FrozenHostBeginsEmpty) {
  EXPECT_EQ(grantAsOwner(State, Own, 3, Now).Granted, 3);
  addTokens(beginAcquire(State, Other.Name, Now), 5, TokenLifetime, Now, Now);
  EXPECT_EQ(grantAsOwner(State, Own, 50, Now + 2s).Granted, 0);
  tick(State, Now + 2s);
  EXPECT_EQ(heldTokens(State.Leases.at(Other.Name)), 0);
}

// Guards against a second burst by the host that succeeds a lost owner, also
// for accounts that it has never seen.
TEST_F(AllotmentsTest, SuccessorBeginsWithFewTokens) {
  FleetView Smaller = view(5);
  std::erase_if(Smaller.Candidates, [&](const OwnerCandidate &Candidate) {
    return Candidate.Host != HostId("h0");
  });
  updateView(State, Smaller, Now);
  EXPECT_EQ(grantAsOwner(State, Other, 50, Now).Granted, StartTokens);
}

// Guards against the loss of a host that costs the accounts of other hosts what
// they have saved up, so that their next requests are rejected.
TEST_F(AllotmentsTest, LossOfAnotherHostLeavesSavedTokens) {
  const auto Unrelated = std::find_if(
      State.View.Candidates.begin(), State.View.Candidates.end(),
      [&](const OwnerCandidate &Known) { return Known.Host != HostId("h0"); });
  FleetView Smaller = State.View;
  std::erase_if(Smaller.Candidates, [&](const OwnerCandidate &Candidate) {
    return Candidate.Host == Unrelated->Host;
  });
  updateView(State, Smaller, Now);
  EXPECT_EQ(grantAsOwner(State, Own, 10, Now).Granted, 10);
}

// Guards against memory that grows with the number of account names, and
// against a bucket that is forgotten before it is full.
TEST_F(AllotmentsTest, IdleAccountsAreForgotten) {
  for (int Index = 0; Index < 500; ++Index)
    beginAcquire(State, AccountName("x" + std::to_string(Index)), Now);
  ClientAccount Slow = Own;
  Slow.Rate = 0.1;
  EXPECT_GT(grantAsOwner(State, Own, 50, Now).Granted, 0);
  TimePoint Time = Now;
  for (; Time < Now + 20s; Time += 100ms)
    tick(State, Time);
  EXPECT_TRUE(State.Leases.empty());
  EXPECT_TRUE(State.Buckets.empty());
  EXPECT_GT(grantAsOwner(State, Slow, 50, Time).Granted, 0);
  for (TimePoint Until = Time + 20s; Time < Until; Time += 100ms)
    tick(State, Time);
  EXPECT_EQ(State.Buckets.size(), 1U);
}

// Guards against tokens that are spent by a preview, and against one that
// differs from the decision for a request.
TEST_F(AllotmentsTest, PreviewTakesNothing) {
  for (int Count = 0; Count < 50; ++Count)
    EXPECT_EQ(previewToken(State, Own, Generator, Now).Decision.Step,
              TokenStep::Taken);
  EXPECT_TRUE(State.Buckets.empty() && State.Leases.empty());
  TokenPreview Preview = previewToken(State, Other, Generator, Now);
  EXPECT_EQ(Preview.Decision.Step, TokenStep::Ask);
  EXPECT_TRUE(Preview.Owner && !Preview.IsOwnerSelf);
  TokenLease &Lease = beginAcquire(State, Other.Name, Now);
  addTokens(Lease, 3, TokenLifetime, Now, Now);
  Preview = previewToken(State, Other, Generator, Now);
  EXPECT_EQ(Preview.Decision.Step, TokenStep::Taken);
  EXPECT_EQ(Preview.Held, 3);
  EXPECT_EQ(heldTokens(Lease), 3);
  const TimePoint Later = Now + TokenLifetime;
  Lease.RefusedUntil = Later + 400ms;
  Preview = previewToken(State, Other, Generator, Later);
  EXPECT_EQ(Preview.Decision.Step, TokenStep::Refused);
  EXPECT_EQ(Preview.Held, 0);
  EXPECT_EQ(Preview.RefusedFor, 400ms);
}

} // namespace
} // namespace comfreyrill
