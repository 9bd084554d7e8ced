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

/// A fleet whose hosts send each other their evidence with a delay, and a
/// request that breaks each target that runs it. Targets are always fresh,
/// which is the worst case.
class Fleet {
public:
  Fleet(std::size_t HostCount, Duration TimeToCrash, Duration RetryDelay)
      : Hosts(HostCount), TimeToCrash(TimeToCrash) {
    for (QuarantineState &Host : Hosts)
      Host.Limits.RetryDelay = RetryDelay;
  }

  // A copy of the request; the host retries it up to three attempts. Done is
  // called when the host gives up.
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
  std::size_t targetsBroken() const { return Crashes.size(); }

  // Copies that reached their host before the evidence of two crashes did.
  std::size_t copiesUnderWay() const {
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

// Sends the request again through the next host as soon as the last one gave
// up, with a turnaround between the two.
std::size_t brokenBySerialCaller(Duration Turnaround, Duration TimeToCrash) {
  Fleet Hosts(17, TimeToCrash, RetryDelay);
  std::size_t Next = 0;
  std::function<void()> SendAgain = [&] {
    if (Next < 17)
      Hosts.sendCopy(Next++, Hosts.now() + Turnaround, SendAgain);
  };
  SendAgain();
  Hosts.run();
  return Hosts.targetsBroken();
}

// Sends copies through different hosts, without waiting for the outcome.
Fleet runCopies(std::size_t Copies, Duration Spacing, Duration TimeToCrash,
                Duration RetryWait) {
  Fleet Hosts(17, TimeToCrash, RetryWait);
  for (std::size_t Host = 0; Host < Copies; ++Host)
    Hosts.sendCopy(Host, Hosts.now() + Spacing * Host, [] {});
  Hosts.run();
  return Hosts;
}

// Guards against a caller that takes down one target after another by sending
// its request again through other hosts. Callers are 8 ms away.
TEST(Fleet, SerialCallerTakesDownTwoTargets) {
  for (Duration TimeToCrash :
       {Duration(microseconds(10)), Duration(milliseconds(1)),
        Duration(milliseconds(50))}) {
    EXPECT_EQ(brokenBySerialCaller(milliseconds(16), TimeToCrash), 2U);
    EXPECT_EQ(brokenBySerialCaller(EvidenceDelay, TimeToCrash), 2U);
  }
}

// Guards against copies that each take down more than one target. With C copies
// handed to their hosts before the evidence of two crashes has reached these,
// at most C + 1 targets break, because only the copy that crashed first can be
// retried in that time.
TEST(Fleet, EachCopyUnderWayTakesDownOneTarget) {
  std::size_t Most = 0;
  for (std::size_t Copies = 1; Copies <= 17; ++Copies)
    for (int SpacingMicroseconds : {0, 100, 1000, 2000, 5000, 20'000, 100'000})
      for (int CrashMicroseconds : {10, 1000, 20'000, 50'000}) {
        Fleet Hosts = runCopies(Copies, microseconds(SpacingMicroseconds),
                                microseconds(CrashMicroseconds), RetryDelay);
        EXPECT_LE(Hosts.targetsBroken(), Hosts.copiesUnderWay() + 1)
            << Copies << " copies, one each " << SpacingMicroseconds
            << " us, crash after " << CrashMicroseconds << " us";
        Most = std::max(Most, Hosts.targetsBroken());
      }
  // All at once is the worst that 17 copies can do.
  EXPECT_EQ(Most, 17U);
}

// Guards against a bound that holds without the wait before a retry, so that
// the test above would show nothing.
TEST(Fleet, CopiesTakeDownTwoEachWithoutTheWait) {
  Fleet Hosts = runCopies(5, Duration(0), milliseconds(1), Duration(0));
  EXPECT_EQ(Hosts.targetsBroken(), 10U);
  EXPECT_GT(Hosts.targetsBroken(), Hosts.copiesUnderWay() + 1);
}

} // namespace
} // namespace comfreyrill
