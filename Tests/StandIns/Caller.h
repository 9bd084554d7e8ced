#pragma once

#include "CallLog.h"

#include <LibCore/Random.h>
#include <LibHttp/ConnectionPool.h>
#include <LibHttp/HttpClient.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace comfreyrill::standins {

struct CallerSettings {
  /// Hosts that are queried first for the current addresses.
  std::vector<Endpoint> Hosts;
  /// When set, calls go directly to this target.
  std::optional<Endpoint> DirectTarget;
  std::string Service = "stock";
  /// Prefix of all tokens; must differ between callers.
  std::string Name = "caller";
  /// Mean calls per second in open loop; 0 selects closed loop.
  double Rate = 100;
  /// Concurrent calls in closed loop; maximum of concurrent calls in open loop.
  std::uint32_t Outstanding = 1000;
  std::uint64_t Count = 1000;
  Duration Length = std::chrono::seconds(10);
  /// Share of non-idempotent calls.
  double KeyedShare = 0;
  /// One call in this many is marked to crash its target; 0 disables crashes.
  std::uint64_t CrashEvery = 0;
  std::uint64_t AnswerBytes = 0;
  std::uint64_t BodyBytes = 64;
  Duration Timeout = std::chrono::seconds(2);
  std::uint32_t MaximumSends = 6;
  std::uint64_t Seed = 1;
};

/// Fetches host addresses and idempotency keys, sends calls and checks the
/// answers.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(const Executor &Context, const Clock &TimeSource,
         CallerSettings Settings, CallLog &Log);

  /// Runs until the count or the length of the run is reached and all calls
  /// have ended.
  Awaitable<void> run();
  /// Stops starting calls.
  void stop();
  Duration elapsed() const { return Ended - Started; }

private:
  struct IssuedKey {
    std::string Key;
    Endpoint Issuer;
  };
  struct Call {
    std::string Token;
    bool Keyed = false;
    bool Crashes = false;
    IssuedKey Key;
    TimePoint Due;
  };

  Awaitable<void> refreshAddresses();
  Awaitable<bool> fetchAddresses(Endpoint Host);
  Awaitable<bool> fetchKeys(Endpoint Host);
  Awaitable<bool> acquireKey(std::shared_ptr<Call> Current);
  Awaitable<void> openLoop();
  Awaitable<void> closedLoop();
  std::shared_ptr<Call> createCall(TimePoint Due);
  Awaitable<void> perform(std::shared_ptr<Call> Current);
  Awaitable<SendOutcome> send(std::shared_ptr<Call> Current,
                              std::uint32_t Number);
  HttpRequest makeRequest(const Call &Current, const std::string &Token) const;
  Endpoint chooseAddress(const Call &Current, std::uint32_t Number) const;
  bool canStartCall() const;

  Executor Context;
  const Clock &TimeSource;
  CallerSettings Settings;
  CallLog &Log;
  Random Generator;
  ConnectionPool Pool;
  HttpLimits Limits;
  std::vector<Endpoint> Addresses;
  Duration Lifetime = std::chrono::milliseconds(100);
  // Addresses that failed recently are skipped until the given time.
  std::unordered_map<Endpoint, TimePoint> AvoidUntil;
  std::deque<IssuedKey> Keys;
  Timer AddressTimer;
  Timer WakeTimer;
  std::uint64_t CallsStarted = 0;
  std::uint32_t Outstanding = 0;
  bool IsStopping = false;
  TimePoint Started;
  TimePoint Ended;
};

} // namespace comfreyrill::standins
