#include <LibQuarantine/Quarantine.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace comfreyrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t Request = 42;
constexpr Duration EvidenceDelay = milliseconds(5);

/// Simulates hosts that send each other crash evidence with a delay, and a
/// request that crashes each target that executes it. Each attempt uses a new
/// target, which is the worst case.
class Fleet {
public:
  Fleet(std::size_t HostCount, Duration TimeToCrash, Duration RetryDelay)
      : Hosts(HostCount), TimeToCrash(TimeToCrash) {
    for (QuarantineState &Host : Hosts)
      Host.Limits.RetryDelay = RetryDelay;
  }

  // Sends a copy of the request to a host, which makes up to three attempts.
  // Done is called when the host gives up.
  void sendCopy(std::size_t Host, TimePoint When, std::function<void()> Done) {
    Copies.push_back(When);
    at(When, [this, Host, Done = std::move(Done)] { attempt(Host, 3, Done); });
  }

  void run() {
    while (!Events.empty()) {
      auto Next = Events.extract(Events.begin());
      Now = Next.key();
      Next.mapped()();
    }
  }

  TimePoint now() const { return Now; }
  std::size_t targetsCrashed() const { return Crashes.size(); }

  // Number of copies that reached their host before the evidence of two crashes
  // did.
  std::size_t copiesInFlight() const {
    if (Crashes.size() < 2)
      return Copies.size();
    return static_cast<std::size_t>(
        std::count_if(Copies.begin(), Copies.end(), [this](TimePoint When) {
          return When <= Crashes[1] + EvidenceDelay;
        }));
  }

private:
  void at(TimePoint When, std::function<void()> Event) {
    Events.emplace(When, std::move(Event));
  }

  void attempt(std::size_t Host, int Attempts,
               const std::function<void()> &Done) {
    if (Attempts == 0 || !mayDispatch(Hosts[Host], Request, Now))
      return Done();
    at(Now + TimeToCrash, [=, this] { crash(Host, Attempts, Done); });
  }

  void crash(std::size_t Host, int Attempts,
             const std::function<void()> &Done) {
    TargetId Target("t" + std::to_string(Crashes.size()));
    Crashes.push_back(Now);
    recordCrash(Hosts[Host], Request, Target, Now);
    for (std::size_t Peer = 0; Peer < Hosts.size(); ++Peer)
      if (Peer != Host)
        at(Now + EvidenceDelay,
           [=, this] { recordCrash(Hosts[Peer], Request, Target, Now); });
    retry(Host, Attempts - 1, Now, Done);
  }

  void retry(std::size_t Host, int Attempts, TimePoint CrashedAt,
             const std::function<void()> &Done) {
    CrashRetryDecision Decision =
        decideCrashRetry(Hosts[Host], Request, CrashedAt, Now);
    if (Decision.Kind == CrashRetryKind::Wait)
      at(Decision.RecheckAt,
         [=, this] { retry(Host, Attempts, CrashedAt, Done); });
    else if (Decision.Kind == CrashRetryKind::Retry)
      attempt(Host, Attempts, Done);
    else
      Done();
  }

  std::vector<QuarantineState> Hosts;
  Duration TimeToCrash;
  TimePoint Now{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<TimePoint> Copies;
  std::vector<TimePoint> Crashes;
};

const Duration RetryDelay = QuarantineLimits().RetryDelay;

// Sends the request again through the next host each time a host gives up,
// after ResendDelay, and returns the number of crashed targets.
std::size_t targetsCrashedBySerialCaller(Duration ResendDelay,
                                         Duration TimeToCrash) {
  Fleet Hosts(17, TimeToCrash, RetryDelay);
  std::size_t Next = 0;
  std::function<void()> SendAgain = [&] {
    if (Next < 17)
      Hosts.sendCopy(Next++, Hosts.now() + ResendDelay, SendAgain);
  };
  SendAgain();
  Hosts.run();
  return Hosts.targetsCrashed();
}

// Sends copies through different hosts without waiting for the outcome.
Fleet runCopies(std::size_t Copies, Duration Spacing, Duration TimeToCrash,
                Duration RetryDelayOverride) {
  Fleet Hosts(17, TimeToCrash, RetryDelayOverride);
  for (std::size_t Host = 0; Host < Copies; ++Host)
    Hosts.sendCopy(Host, Hosts.now() + Spacing * Host, [] {});
  Hosts.run();
  return Hosts;
}

// Guards against a caller that crashes one target after another by sending its
// request again through other hosts. The network delay between a caller and a
// host is 8 ms.
TEST(Fleet, SerialCallerCrashesTwoTargets) {
  for (Duration TimeToCrash :
       {Duration(microseconds(10)), Duration(milliseconds(1)),
        Duration(milliseconds(50))}) {
    EXPECT_EQ(targetsCrashedBySerialCaller(milliseconds(16), TimeToCrash), 2U);
    EXPECT_EQ(targetsCrashedBySerialCaller(EvidenceDelay, TimeToCrash), 2U);
  }
}

// Guards against copies that each crash more than one target. If C copies reach
// their hosts before the evidence of two crashes does, at most C + 1 targets
// crash, because only the copy that crashed first can be retried in that time.
TEST(Fleet, EachCopyInFlightCrashesOneTarget) {
  std::size_t Most = 0;
  for (std::size_t Copies = 1; Copies <= 17; ++Copies)
    for (int SpacingMicroseconds : {0, 100, 1000, 2000, 5000, 20'000, 100'000})
      for (int CrashMicroseconds : {10, 1000, 20'000, 50'000}) {
        Fleet Hosts = runCopies(Copies, microseconds(SpacingMicroseconds),
                                microseconds(CrashMicroseconds), RetryDelay);
        EXPECT_LE(Hosts.targetsCrashed(), Hosts.copiesInFlight() + 1)
            << Copies << " copies, one each " << SpacingMicroseconds
            << " us, crash after " << CrashMicroseconds << " us";
        Most = std::max(Most, Hosts.targetsCrashed());
      }
  // The worst case for 17 copies is that all are sent at the same time.
  EXPECT_EQ(Most, 17U);
}

// Guards against a bound that also holds without the retry delay, in which case
// the test above would prove nothing.
TEST(Fleet, CopiesCrashTwoEachWithoutRetryDelay) {
  Fleet Hosts = runCopies(5, Duration(0), milliseconds(1), Duration(0));
  EXPECT_EQ(Hosts.targetsCrashed(), 10U);
  EXPECT_GT(Hosts.targetsCrashed(), Hosts.copiesInFlight() + 1);
}

} // namespace
} // namespace comfreyrill
