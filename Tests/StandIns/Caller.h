#pragma once

#include "CallBook.h"

#include <LibCore/Random.h>
#include <LibHttp/ConnectionPool.h>
#include <LibHttp/HttpClient.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace comfreyrill::standins {

struct CallerSettings {
  /// Hosts that are asked for addresses first.
  std::vector<Endpoint> Hosts;
  /// Set: calls go straight to this target.
  std::optional<Endpoint> Direct;
  std::string Service = "stock";
  /// Prefix of all tokens; must differ between callers.
  std::string Name = "caller";
  /// Calls a second on average; 0 means closed loop.
  double Rate = 100;
  /// Calls at a time in closed loop, and the bound on those in open loop.
  std::uint32_t Outstanding = 1000;
  std::uint64_t Count = 1000;
  Duration Length = std::chrono::seconds(10);
  /// Share of non-idempotent calls.
  double KeyedShare = 0;
  /// Every so many calls one is marked to crash its target; 0 means none.
  std::uint64_t CrashEvery = 0;
  std::uint64_t AnswerBytes = 0;
  std::uint64_t BodyBytes = 64;
  Duration Timeout = std::chrono::seconds(2);
  std::uint32_t MaximumSends = 6;
  std::uint64_t Seed = 1;
};

/// Asks for addresses and keys, sends calls and checks their answers.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(const Executor &Context, const Clock &TimeSource,
         CallerSettings Settings, CallBook &Book);

  /// Runs until the count or the length is reached and all calls have ended.
  Awaitable<void> run();
  /// Starts no further call.
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

  Awaitable<void> keepAddresses();
  Awaitable<bool> askForAddresses(Endpoint Host);
  Awaitable<bool> fetchKeys(Endpoint Host);
  Awaitable<bool> takeKey(std::shared_ptr<Call> Current);
  Awaitable<void> openLoop();
  Awaitable<void> closedLoop();
  std::shared_ptr<Call> nextCall(TimePoint Due);
  Awaitable<void> perform(std::shared_ptr<Call> Current);
  Awaitable<Told> send(std::shared_ptr<Call> Current, std::uint32_t Number);
  HttpRequest makeRequest(const Call &Current, const std::string &Token) const;
  Endpoint chooseAddress(const Call &Current, std::uint32_t Number) const;
  bool mayStart() const;

  Executor Context;
  const Clock &TimeSource;
  CallerSettings Settings;
  CallBook &Book;
  Random Generator;
  ConnectionPool Pool;
  HttpLimits Limits;
  std::vector<Endpoint> Addresses;
  Duration Lifetime = std::chrono::milliseconds(100);
  // Addresses that refused a connection are passed over for a moment.
  std::unordered_map<Endpoint, TimePoint> AvoidUntil;
  std::deque<IssuedKey> Keys;
  Timer AddressTimer;
  Timer Idle;
  std::uint64_t Begun = 0;
  std::uint32_t Outstanding = 0;
  bool IsStopping = false;
  TimePoint Started;
  TimePoint Ended;
};

} // namespace comfreyrill::standins
