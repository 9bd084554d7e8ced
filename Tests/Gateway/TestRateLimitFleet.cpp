#include <GatewayState.h>

#include <gtest/gtest.h>

#include <deque>
#include <memory>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

const ServiceName Stock("stock");

/// One host of the fleet with its own view of the targets.
struct FleetHost {
  FleetHost(const Clock &TimeSource, std::uint32_t Seed, std::string Domain)
      : Events(Output, TimeSource), Generator(Seed), Domain(std::move(Domain)),
        State(TimeSource, Generator, Events) {}

  Log Output{LogLevel::Error, ""};
  RateLimitedLog Events;
  Random Generator;
  FailureDomain Domain;
  GatewayState State;
  DomainHosts View;
  bool IsRunning = true;
  std::optional<TimePoint> ToldAt;
};

/// A fleet of hosts in domains "d0", "d1" and so on, and one target in "d0"
/// whose answers name a limit. Each host would send it many requests.
class RateLimitFleet : public testing::Test {
protected:
  static constexpr Duration Step = 10ms;
  static constexpr Duration StabilityWindow = 3s;
  static constexpr Duration CountedWindow = 4s;
  static constexpr Duration WorkTime = 160ms;
  static constexpr Duration ProbeTime = 10ms;
  static constexpr double RequestsPerHostAndSecond = 5;

  void makeHosts(std::size_t Domains, std::size_t HostsPerDomain) {
    for (std::size_t Index = 0; Index < Domains * HostsPerDomain; ++Index) {
      Hosts.push_back(std::make_unique<FleetHost>(
          TimeSource, static_cast<std::uint32_t>(Index + 1),
          "d" + std::to_string(Index / HostsPerDomain)));
      Hosts.back()->State.applyTargetList({target()}, {1}, "test");
    }
    for (auto &Host : Hosts)
      Host->View = viewOf(*Host);
    // The hosts have known each other for a while.
    for (Duration Passed{0}; Passed < 5s; Passed += 50ms) {
      TimeSource.advance(50ms);
      shareViews();
    }
  }

  static TargetRegistration target() {
    TargetRegistration Made;
    Made.Id = TargetId("i-1");
    Made.Service = Stock;
    Made.Address = {"10.0.0.1", 8080};
    Made.Domain = FailureDomain("d0");
    Made.Slots = 6;
    return Made;
  }

  HostId nameOf(const FleetHost &Host) const {
    const auto Position =
        std::find_if(Hosts.begin(), Hosts.end(),
                     [&](const auto &Entry) { return Entry.get() == &Host; });
    return HostId("h" + std::to_string(Position - Hosts.begin()));
  }

  DomainHosts viewOf(const FleetHost &Host) const {
    DomainHosts View;
    View.Self = nameOf(Host);
    View.Domain = Host.Domain;
    for (const auto &Other : Hosts)
      if (Other.get() != &Host && Other->Domain == Host.Domain)
        View.Others.push_back({nameOf(*Other), Other->IsRunning});
    return View;
  }

  void shareViews() {
    for (auto &Host : Hosts)
      if (Host->IsRunning)
        Host->State.updateHosts(Host->View, Hosts.size());
  }

  void stop(FleetHost &Stopped) {
    Stopped.IsRunning = false;
    for (auto &Host : Hosts)
      Host->View = viewOf(*Host);
  }

  /// Lets all hosts send as many requests as they may for that time.
  void run(Duration Length) {
    const TimePoint End = TimeSource.now() + Length;
    std::bernoulli_distribution Arrives(
        RequestsPerHostAndSecond * std::chrono::duration<double>(Step).count());
    while (TimeSource.now() < End) {
      TimeSource.advance(Step);
      shareViews();
      deliverAnswers();
      for (auto &Host : Hosts)
        if (Host->IsRunning && Arrives(Generator))
          begin(*Host);
    }
  }

  /// A request is preceded by a probe, as in the gateway.
  void begin(FleetHost &Host) {
    if (Host.State.candidates(Stock, Host.Domain).Targets.empty())
      return;
    Pending.push_back({&Host, TimeSource.now(), TimeSource.now() + ProbeTime,
                       SignalSource::Probe});
  }

  void send(FleetHost &Host) {
    const TargetProcess Process = processOf(target());
    if (!Host.State.admitsAttempt(Process))
      return;
    const TimePoint Now = TimeSource.now();
    Host.State.beginAttempt(Process);
    ++Sent;
    if (Limit && Host.ToldAt && Now - *Host.ToldAt >= 500ms)
      FromTold.push_back(Now);
    Pending.push_back({&Host, Now, Now + WorkTime, SignalSource::Answer});
  }

  void deliverAnswers() {
    for (std::size_t Index = 0; Index < Pending.size();) {
      const Exchange Ended = Pending[Index];
      if (Ended.EndsAt > TimeSource.now()) {
        ++Index;
        continue;
      }
      Pending.erase(Pending.begin() + static_cast<std::ptrdiff_t>(Index));
      deliver(Ended);
    }
  }

  struct Exchange {
    FleetHost *Host;
    TimePoint SentAt;
    TimePoint EndsAt;
    SignalSource Source;
  };

  void deliver(const Exchange &Ended) {
    FleetHost &Host = *Ended.Host;
    const TargetProcess Process = processOf(target());
    const bool IsProbe = Ended.Source == SignalSource::Probe;
    if (!Host.IsRunning)
      return;
    if (!IsProbe)
      Host.State.endAttempt(Process);
    if (Limit && (!IsProbe || ProbesNameLimit)) {
      TargetSignals Signals;
      Signals.RateLimit = Limit;
      Host.State.recordSignals(Process, target().Address, Signals,
                               Ended.Source);
      if (!Host.ToldAt)
        Host.ToldAt = TimeSource.now();
    } else {
      Host.State.recordUnlimited(Process, Ended.Source, Ended.SentAt);
    }
    if (IsProbe)
      send(Host);
  }

  /// Largest number of requests of told hosts in any counted window after the
  /// stability window.
  std::size_t largestCount(TimePoint NamedAt) const {
    std::size_t Largest = 0;
    for (std::size_t Begin = 0; Begin < FromTold.size(); ++Begin) {
      if (FromTold[Begin] < NamedAt + StabilityWindow)
        continue;
      std::size_t End = Begin;
      while (End < FromTold.size() &&
             FromTold[End] < FromTold[Begin] + CountedWindow)
        ++End;
      Largest = std::max(Largest, End - Begin);
    }
    return Largest;
  }

  std::size_t allowedCount() const {
    return static_cast<std::size_t>(
        1.5 * *Limit * std::chrono::duration<double>(CountedWindow).count() +
        5);
  }

  ManualClock TimeSource;
  Random Generator{20261207};
  std::vector<std::unique_ptr<FleetHost>> Hosts;
  std::deque<Exchange> Pending;
  std::optional<double> Limit;
  bool ProbesNameLimit = true;
  std::size_t Sent = 0;
  std::vector<TimePoint> FromTold;
};

// Guards against hosts that together send a target more than it takes.
TEST_F(RateLimitFleet, HostsTogetherKeepToTheLimitOfATarget) {
  makeHosts(4, 5);
  for (const bool InProbes : {true, false})
    for (const double Named : {0.2, 1.0, 1.5, 3.0, 12.0}) {
      ProbesNameLimit = InProbes;
      Limit.reset();
      run(20s);
      FromTold.clear();
      for (auto &Host : Hosts)
        Host->ToldAt.reset();
      Limit = Named;
      const TimePoint NamedAt = TimeSource.now();
      run(60s);
      EXPECT_LE(largestCount(NamedAt), allowedCount())
          << "limit " << Named << ", named by probes: " << InProbes;
    }
}

// Guards against hosts that exceed the limit when some have failed or take
// others for lost.
TEST_F(RateLimitFleet, LimitHoldsWhenHostsFailAndViewsDiffer) {
  makeHosts(2, 8);
  for (const double Named : {1.0, 3.0, 12.0}) {
    Limit.reset();
    run(20s);
    FromTold.clear();
    Limit = Named;
    const TimePoint NamedAt = TimeSource.now();
    run(10s);
    // The halves of the domain do not hear each other.
    for (std::size_t Index = 0; Index < 8; ++Index)
      for (DomainHost &Other : Hosts[Index]->View.Others)
        Other.IsLive = (Other.Host < HostId("h4")) == (Index < 4);
    run(20s);
    for (auto &Host : Hosts)
      Host->View = viewOf(*Host);
    run(10s);
    EXPECT_LE(largestCount(NamedAt), allowedCount()) << Named;
  }
  Limit = 1;
  const TimePoint NamedAt = TimeSource.now();
  for (std::size_t Index = 0; Index < 7; ++Index) {
    stop(*Hosts[Index]);
    run(5s);
  }
  EXPECT_LE(largestCount(NamedAt), allowedCount());
}

// Guards against limits that hold because nothing is sent.
TEST_F(RateLimitFleet, LimitIsUsedByTheHostsOfTheDomain) {
  makeHosts(4, 5);
  for (const double Named : {0.5, 1.5, 12.0}) {
    Limit = Named;
    run(10s);
    Sent = 0;
    run(60s);
    EXPECT_GE(static_cast<double>(Sent), 60 * Named * 0.5) << Named;
  }
}

// Guards against targets that stay out of use when their limits have ended.
TEST_F(RateLimitFleet, AllHostsUseTheTargetAgainAfterTheLimit) {
  makeHosts(4, 5);
  Limit = 1;
  run(20s);
  Limit.reset();
  run(10s);
  Sent = 0;
  run(10s);
  EXPECT_GE(static_cast<double>(Sent), 10 * RequestsPerHostAndSecond *
                                           static_cast<double>(Hosts.size()) *
                                           0.9);
}

// Guards against a host that takes another process for a limited one.
TEST_F(RateLimitFleet, LimitEndsWithTheProcessOfTheTarget) {
  makeHosts(1, 1);
  FleetHost &Host = *Hosts.front();
  TargetSignals Signals;
  Signals.RateLimit = 0;
  Host.State.recordSignals(processOf(target()), target().Address, Signals,
                           SignalSource::Answer);
  EXPECT_TRUE(Host.State.candidates(Stock, Host.Domain).Targets.empty());
  TargetRegistration Restarted = target();
  Restarted.StartedAtMilliseconds = 1;
  Host.State.applyTargetChange({Restarted.Id, Restarted, {2}}, "test");
  EXPECT_EQ(Host.State.candidates(Stock, Host.Domain).Targets.size(), 1U);
  EXPECT_TRUE(Host.State.admitsAttempt(processOf(Restarted)));
}

} // namespace
} // namespace comfreyrill
