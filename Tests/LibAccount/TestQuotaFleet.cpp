#include <LibAccount/Allotments.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr Duration QuotaWindow = 5s;
constexpr double QuotaOverrun = 0.1;
constexpr double QuotaSlack = 20;
/// Views differ for at most this long after a change of the fleet.
constexpr Duration ViewLagMaximum = 500ms;
constexpr Duration TickInterval = 50ms;
/// A host of 0.1 cores that has used up its share of a period of 100 ms waits
/// for the next one.
constexpr Duration StallMaximum = 90ms;

enum class FaultKind {
  Freeze,
  Partition,
  Restart,
  RestartOfAll,
  Join,
  Loss,
  Isolation
};

struct Fault {
  FaultKind Kind = FaultKind::Freeze;
  Duration Begin{0};
  Duration Length{0};
  std::size_t Host = 0;
};

/// Demand of the account from a time on, as a multiple of its rate.
struct LoadChange {
  Duration Begin{0};
  double Factor = 0;
};

struct Play {
  std::uint64_t Seed = 0;
  std::size_t Hosts = 1;
  double Rate = 0;
  double Burst = 0;
  /// 0 spreads the demand evenly; with 1 the first host gets most of it.
  double Skew = 0;
  /// Share of the messages whose receiver is out of processor time for up to
  /// StallMaximum.
  double StalledShare = 0;
  std::vector<LoadChange> Loads;
  std::vector<Fault> Faults;
  Duration Time{0};
};

/// Simulates the hosts of a fleet that serve one account, with messages between
/// them that take time, are lost, or are held back while a host is frozen.
class QuotaFleet {
public:
  explicit QuotaFleet(const Play &Drawn)
      : Drawn(Drawn), Generator(Drawn.Seed), Holder{AccountName("account"),
                                                    {},
                                                    Drawn.Rate,
                                                    Drawn.Burst},
        Begin(Time.now()),
        IdealBucket(makeOwnerBucket({Drawn.Rate, Drawn.Burst, 1, 0},
                                    Begin - 1min, Begin)) {
    for (std::size_t Index = 0; Index < Drawn.Hosts; ++Index)
      addHost();
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      updateView(Hosts[Index].State, trueView(Index), now());
  }

  void run() {
    for (const Fault &Drop : Drawn.Faults) {
      at(Begin + Drop.Begin, [this, Drop] { beginFault(Drop); });
      at(Begin + Drop.Begin + Drop.Length, [this, Drop] { endFault(Drop); });
    }
    at(now(), [this] { arrive(); });
    while (!Events.empty() && Events.begin()->first < Begin + Drawn.Time) {
      auto Next = Events.extract(Events.begin());
      Time.advance(std::max(Next.key() - now(), Duration(0)));
      Next.mapped()();
    }
  }

  /// Most requests that ran in any window, beyond what the quota allows; the
  /// quota is kept if the result is not positive.
  double excess() const {
    const double Allowed =
        (Drawn.Rate * 5 + Drawn.Burst) * (1 + QuotaOverrun) + QuotaSlack;
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Runs.size(); ++Last) {
      while (Runs[Last] - Runs[First] > QuotaWindow)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return static_cast<double>(Most) - Allowed;
  }

  /// Requests that ran, relative to those that one bucket for the whole fleet
  /// would have admitted.
  double servedShare() const {
    return static_cast<double>(Runs.size()) /
           static_cast<double>(std::max<std::size_t>(WithinQuota, 1));
  }
  /// Requests that ran in this part of the play, relative to those that
  /// arrived.
  double servedShareBetween(Duration From, Duration To) const {
    const auto CountIn = [&](const std::vector<TimePoint> &Times) {
      return static_cast<double>(
          std::count_if(Times.begin(), Times.end(), [&](TimePoint Entry) {
            return Entry >= Begin + From && Entry < Begin + To;
          }));
    };
    return CountIn(Runs) / std::max(CountIn(ArrivalTimes), 1.0);
  }
  std::size_t withinQuota() const { return WithinQuota; }
  std::size_t messages() const { return Messages; }
  std::size_t arrivals() const { return Arrivals; }
  Duration longestWait() const { return LongestWait; }

private:
  struct Waiter {
    TimePoint Since;
  };
  struct SimulatedHost {
    Allotments State;
    std::uint64_t Incarnation = 0;
    bool IsFrozen = false;
    std::size_t Part = 0;
    std::vector<Waiter> Waiters;
    TimePoint WakesAt;
    /// What the host does when it resumes.
    std::vector<std::function<void()>> Delayed;
  };

  TimePoint now() const { return Time.now(); }
  double uniform(double From, double To) {
    return std::uniform_real_distribution<double>(From, To)(Generator);
  }
  void at(TimePoint When, std::function<void()> Event) {
    Events.emplace(When, std::move(Event));
  }

  /// Runs an event of a host: never on a successor, and not while it is frozen.
  void onHost(std::size_t Index, TimePoint When, std::function<void()> Event) {
    at(When, [this, Index, Incarnation = Hosts[Index].Incarnation,
              Event = std::move(Event)] {
      SimulatedHost &Host = Hosts[Index];
      if (Host.Incarnation != Incarnation)
        return;
      if (Host.IsFrozen)
        Host.Delayed.push_back(Event);
      else
        Event();
    });
  }

  static HostId hostId(std::size_t Index) {
    return HostId("h" + std::to_string(Index));
  }

  void addHost() {
    Hosts.emplace_back();
    // Hosts of the first moment have been running for a while.
    startHost(Hosts.size() - 1, now() == Begin ? Begin - 1min : now());
  }

  void startHost(std::size_t Index, TimePoint StartedAt) {
    SimulatedHost &Host = Hosts[Index];
    ++Host.Incarnation;
    Host.IsFrozen = false;
    Host.Waiters.clear();
    Host.WakesAt = {};
    Host.Delayed.clear();
    Host.State = makeAllotments(hostId(Index), StartedAt);
    Host.State.LastTick = now();
    Host.State.View.KnownHosts = std::max<std::size_t>(Hosts.size(), 20);
    scheduleTick(Index);
  }

  void scheduleTick(std::size_t Index) {
    onHost(Index, now() + TickInterval, [this, Index] {
      tick(Hosts[Index].State, now());
      scheduleTick(Index);
    });
  }

  bool areConnected(std::size_t One, std::size_t Other) const {
    return Hosts[One].Part == Hosts[Other].Part;
  }

  FleetView trueView(std::size_t Index) const {
    FleetView View;
    View.Self = hostId(Index);
    View.KnownHosts = Hosts.size();
    for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
      if (Other == Index ||
          (areConnected(Index, Other) && !Hosts[Other].IsFrozen))
        View.Candidates.push_back(
            {hostId(Other), {}, ownerHash(hostId(Other))});
    View.LiveHosts = View.Candidates.size();
    return View;
  }

  /// All hosts learn of the change, each after a time of its own.
  void onFleetChange() {
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      const Duration Lag =
          std::chrono::duration_cast<Duration>(ViewLagMaximum * uniform(0, 1));
      onHost(Index, now() + Lag, [this, Index] {
        updateView(Hosts[Index].State, trueView(Index), now());
      });
    }
  }

  void beginFault(const Fault &Drop) {
    const std::size_t Chosen = Drop.Host % Hosts.size();
    switch (Drop.Kind) {
    case FaultKind::Freeze:
      Hosts[Chosen].IsFrozen = true;
      break;
    case FaultKind::Partition:
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        Hosts[Index].Part = (Index + Drop.Host) % 3 == 0 ? 1 : 0;
      break;
    case FaultKind::Isolation:
      Hosts[Chosen].Part = 100 + Chosen;
      break;
    case FaultKind::Restart:
      startHost(Chosen, now());
      break;
    case FaultKind::RestartOfAll:
      for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
        startHost(Index, now());
      break;
    case FaultKind::Join:
      addHost();
      break;
    case FaultKind::Loss:
      LostShare = 0.3;
      break;
    }
    onFleetChange();
  }

  void endFault(const Fault &Drop) {
    const std::size_t Chosen = Drop.Host % Hosts.size();
    if (Drop.Kind == FaultKind::Freeze && Hosts[Chosen].IsFrozen) {
      Hosts[Chosen].IsFrozen = false;
      const auto Delayed = std::move(Hosts[Chosen].Delayed);
      Hosts[Chosen].Delayed.clear();
      for (const auto &Event : Delayed)
        Event();
    } else if (Drop.Kind == FaultKind::Partition ||
               Drop.Kind == FaultKind::Isolation) {
      for (SimulatedHost &Host : Hosts)
        Host.Part = 0;
    } else if (Drop.Kind == FaultKind::Loss) {
      LostShare = 0;
    }
    onFleetChange();
  }

  void send(std::size_t From, std::size_t To, std::function<void()> Deliver) {
    ++Messages;
    if (!areConnected(From, To) || uniform(0, 1) < LostShare)
      return;
    Duration Latency =
        std::chrono::duration_cast<Duration>(1ms * uniform(0.1, 3));
    if (Drawn.StalledShare > 0 && uniform(0, 1) < Drawn.StalledShare)
      Latency +=
          std::chrono::duration_cast<Duration>(StallMaximum * uniform(0, 1));
    onHost(To, now() + Latency, std::move(Deliver));
  }

  double loadFactor() const {
    double Factor = 0;
    for (const LoadChange &Change : Drawn.Loads)
      if (Begin + Change.Begin <= now())
        Factor = Change.Factor;
    return Factor;
  }

  void arrive() {
    // Every request is decided before the end.
    const bool HasEnded = now() > Begin + Drawn.Time - 2 * TokenWaitMaximum;
    const double Rate = HasEnded ? 0 : Drawn.Rate * loadFactor();
    if (Rate > 0) {
      std::size_t Index = static_cast<std::size_t>(
          uniform(0, static_cast<double>(Hosts.size()) - 1e-9));
      if (uniform(0, 1) < Drawn.Skew)
        Index = 0;
      ++Arrivals;
      ArrivalTimes.push_back(now());
      const GrantedBatch Ideal =
          grantBatch(IdealBucket, {Drawn.Rate, Drawn.Burst, 1, 0}, 1, now());
      WithinQuota += static_cast<std::size_t>(Ideal.Granted);
      onHost(Index, now(), [this, Index] {
        beginAcquire(Hosts[Index].State, Holder.Name, now());
        attempt(Index, {now()});
      });
    }
    const double Seconds =
        Rate > 0 ? std::exponential_distribution<double>(Rate)(Generator)
                 : 0.05;
    at(now() + std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(Seconds)),
       [this] { arrive(); });
  }

  void attempt(std::size_t Index, Waiter Caller) {
    SimulatedHost &Host = Hosts[Index];
    TokenLease &Lease = Host.State.Leases[Holder.Name];
    expireRequest(Host.State, Lease, now());
    const TokenDecision Decision =
        decide(Host.State, Lease, Holder, Caller.Since + TokenWaitMaximum,
               Generator, now());
    switch (Decision.Step) {
    case TokenStep::Taken:
      Runs.push_back(now());
      LongestWait = std::max(LongestWait, now() - Caller.Since);
      if (const auto Owner =
              chooseEarlyRenewal(Host.State, Lease, Holder.Name, now()))
        ask(Index, *Owner);
      return;
    case TokenStep::Refused:
      return;
    case TokenStep::Ask:
      ++Lease.Waiting;
      Host.Waiters.push_back(Caller);
      ask(Index, Decision.Owner);
      return;
    case TokenStep::Await:
      ++Lease.Waiting;
      Host.Waiters.push_back(Caller);
      wakeAt(Index, awaitsUntil(Lease));
      return;
    }
  }

  /// Like the one timer of the waiting callers of a host.
  void wakeAt(std::size_t Index, TimePoint When) {
    SimulatedHost &Host = Hosts[Index];
    if (std::exchange(Host.WakesAt, When) == When)
      return;
    onHost(Index, When, [this, Index, When] {
      if (Hosts[Index].WakesAt == When)
        wakeWaiters(Index);
    });
  }

  void wakeWaiters(std::size_t Index) {
    SimulatedHost &Host = Hosts[Index];
    const std::vector<Waiter> Woken = std::move(Host.Waiters);
    Host.Waiters.clear();
    for (const Waiter &Caller : Woken) {
      --Host.State.Leases[Holder.Name].Waiting;
      attempt(Index, Caller);
    }
  }

  void ask(std::size_t Index, const OwnerCandidate &Chosen) {
    SimulatedHost &Host = Hosts[Index];
    TokenLease &Lease = Host.State.Leases[Holder.Name];
    const std::int32_t Wanted = wantedTokens(Lease, now());
    beginRequest(Host.State, Lease, Chosen.Host, now());
    const PendingTokenRequest Request = *Lease.Pending;
    const auto Owner =
        static_cast<std::size_t>(std::stoul(Chosen.Host.Value.substr(1)));
    wakeAt(Index, awaitsUntil(Lease));
    const std::uint64_t Incarnation = Host.Incarnation;
    send(Index, Owner, [this, Index, Owner, Wanted, Request, Incarnation] {
      const GrantedBatch Batch =
          grantAsOwner(Hosts[Owner].State, Holder, Wanted, now());
      if (Hosts[Index].Incarnation != Incarnation)
        return;
      send(Owner, Index, [this, Index, Request, Batch] {
        onResponse(Hosts[Index].State, Hosts[Index].State.Leases[Holder.Name],
                   Request, {Batch.Granted, TokenLifetime, Batch.RetryAfter},
                   now());
        wakeWaiters(Index);
      });
    });
  }

  const Play Drawn;
  Random Generator;
  const ClientAccount Holder;
  ManualClock Time;
  const TimePoint Begin;
  std::vector<SimulatedHost> Hosts;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<TimePoint> Runs;
  std::vector<TimePoint> ArrivalTimes;
  std::size_t Arrivals = 0;
  OwnerBucket IdealBucket;
  std::size_t WithinQuota = 0;
  std::size_t Messages = 0;
  double LostShare = 0;
  Duration LongestWait{0};
};

// From the whole range in all cases: the first ones would otherwise have few
// hosts and faults.
int draw(int From, int To) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(From, To + 1));
}

Play drawPlay() {
  Play Drawn;
  Drawn.Seed = *rc::gen::arbitrary<std::uint64_t>();
  Drawn.Hosts =
      static_cast<std::size_t>(draw(0, 3) == 0 ? draw(15, 60) : draw(1, 14));
  Drawn.Rate = draw(1, 25) * draw(1, 12);
  Drawn.Burst = Drawn.Rate * draw(0, 80) / 10.0;
  Drawn.Skew = draw(0, 10) / 10.0;
  Drawn.Time = 20s;
  return Drawn;
}

Play drawFaultyPlay() {
  Play Drawn = drawPlay();
  if (draw(0, 1) == 0) {
    // Hosts hold tokens for their usual demand when a surge begins.
    const auto Usual = std::chrono::milliseconds(draw(1'000, 8'000));
    const auto Pause = std::chrono::milliseconds(draw(0, 2'000));
    Drawn.Loads = {{0ms, draw(3, 10) / 10.0},
                   {Usual, 0},
                   {Usual + Pause, draw(20, 75) / 10.0}};
  } else {
    for (int Change = draw(1, 5); Change > 0; --Change)
      Drawn.Loads.push_back(
          {std::chrono::milliseconds(draw(0, 15'000)), draw(0, 50) / 10.0});
  }
  std::sort(Drawn.Loads.begin(), Drawn.Loads.end(),
            [](const LoadChange &One, const LoadChange &Other) {
              return One.Begin < Other.Begin;
            });
  Drawn.StalledShare = draw(0, 2) == 0 ? draw(1, 30) / 100.0 : 0;
  for (int Count = draw(0, 5); Count > 0; --Count)
    Drawn.Faults.push_back({static_cast<FaultKind>(draw(0, 6)),
                            std::chrono::milliseconds(draw(0, 18'000)),
                            std::chrono::milliseconds(draw(50, 8'000)),
                            static_cast<std::size_t>(draw(0, 20))});
  return Drawn;
}

// Guards against requests beyond the quota of an account: while hosts are
// frozen, restarted or cut off, and while they do not agree on the owner.
RC_GTEST_PROP(QuotaFleetProperty, QuotaIsKeptInEveryWindow, ()) {
  const Play Drawn = drawFaultyPlay();
  QuotaFleet Fleet(Drawn);
  Fleet.run();
  RC_ASSERT(Fleet.excess() <= 0);
}

// Guards against requests within the rate that are rejected or that wait for
// long, and against an owner that is asked for each request.
RC_GTEST_PROP(QuotaFleetProperty, AccountWithinItsRateIsServed, ()) {
  Play Drawn = drawPlay();
  Drawn.Burst = std::max({Drawn.Burst, Drawn.Rate * 0.5, 10.0});
  Drawn.Loads.push_back({0ms, draw(20, 90) / 100.0});
  QuotaFleet Fleet(Drawn);
  Fleet.run();
  RC_ASSERT(Fleet.excess() <= 0);
  RC_ASSERT(Fleet.withinQuota() == 0U || Fleet.servedShare() >= 0.98);
  RC_ASSERT(Fleet.messages() <= 2 * Fleet.arrivals());
  RC_ASSERT(Fleet.longestWait() <= TokenWaitMaximum + 10ms);
}

/// An account of 121 hosts that is sent Load times its rate for ten seconds.
Play manyHosts(double Rate, double Burst, double Load) {
  Play Drawn;
  Drawn.Seed = 20261206;
  Drawn.Hosts = 121;
  Drawn.Rate = Rate;
  Drawn.Burst = Burst;
  Drawn.Loads.push_back({0ms, Load});
  Drawn.Time = 10s;
  return Drawn;
}

double requestsForTokensPerSecond(const QuotaFleet &Fleet) {
  const double PerSecond = Fleet.messages() / 2.0 / 10;
  testing::Test::RecordProperty("token_requests_per_second",
                                static_cast<int>(PerSecond));
  return PerSecond;
}

// Guards against batches that are too small for an account of which each of
// many hosts gets few requests.
TEST(QuotaFleetTest, LargeAccountOverManyHostsTakesBatches) {
  QuotaFleet Fleet(manyHosts(1000, 500, 0.95));
  Fleet.run();
  EXPECT_GE(Fleet.servedShare(), 0.98);
  EXPECT_LE(requestsForTokensPerSecond(Fleet), 700);
}

// Guards against an owner that refused hosts overload while an account sends
// five times its rate.
TEST(QuotaFleetTest, SurgeDoesNotLoadTheOwner) {
  QuotaFleet Fleet(manyHosts(200, 200, 5));
  Fleet.run();
  EXPECT_LE(Fleet.excess(), 0);
  EXPECT_LE(requestsForTokensPerSecond(Fleet), 450);
  EXPECT_GE(Fleet.servedShare(), 0.95);
}

// Guards against requests within the rate that are rejected because the owner
// is a slow host: those that are asked in its place have hardly any tokens.
TEST(QuotaFleetTest, SlowOwnersCostFewRequests) {
  for (const double Usual : {174.0, 20.0, 4.4}) {
    Play Drawn = manyHosts(Usual * 1.6, Usual * 1.6, 0.625);
    Drawn.Time = 60s;
    Drawn.StalledShare = 0.05;
    QuotaFleet Fleet(Drawn);
    Fleet.run();
    EXPECT_GE(Fleet.servedShare(), 0.99) << Usual << " requests per second";
    EXPECT_LE(Fleet.longestWait(), TokenWaitMaximum + 10ms);
    EXPECT_LE(Fleet.excess(), 0);
  }
}

// Guards against accounts whose requests are rejected after all hosts have lost
// power, although they send no more than usual: no host knows of tokens then.
// Half a second is what the hosts need to learn of one another.
TEST(QuotaFleetTest, RestartOfAllHostsCostsFewRequests) {
  for (const double Usual : {174.0, 20.0, 4.4}) {
    double Served = 0;
    constexpr int Plays = 10;
    for (int Index = 0; Index < Plays; ++Index) {
      Play Drawn = manyHosts(Usual * 1.6, Usual * 1.6, 0.625);
      Drawn.Seed += static_cast<std::uint64_t>(Index);
      Drawn.Faults.push_back({FaultKind::RestartOfAll, 5s, 1s, 0});
      QuotaFleet Fleet(Drawn);
      Fleet.run();
      EXPECT_LE(Fleet.excess(), 0);
      Served += Fleet.servedShareBetween(5500ms, 6500ms) / Plays;
    }
    EXPECT_GE(Served, 0.9) << Usual << " requests per second";
  }
}

} // namespace
} // namespace comfreyrill
