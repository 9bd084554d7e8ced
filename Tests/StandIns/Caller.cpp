#include "Caller.h"

#include <algorithm>

namespace comfreyrill::standins {

namespace {

constexpr std::uint64_t KeysPerFetch = 16;
constexpr Duration FetchTimeout = std::chrono::seconds(1);
constexpr Duration AvoidDuration = std::chrono::milliseconds(500);
/// A host responds at the deadline; the caller waits this much longer for the
/// response to arrive.
constexpr Duration AnswerSlack = std::chrono::milliseconds(300);
constexpr Duration IdleTimeout = std::chrono::seconds(4);

std::vector<std::string> readStrings(const boost::json::object &Object,
                                     std::string_view Name) {
  std::vector<std::string> Strings;
  const auto *Member = Object.if_contains(Name);
  if (Member != nullptr && Member->is_array())
    for (const auto &Entry : Member->as_array())
      if (Entry.is_string())
        Strings.emplace_back(Entry.as_string());
  return Strings;
}

// Exponential backoff; immediate retries of refused calls would add to the
// overload.
Duration backoffDelay(std::uint32_t Number) {
  return std::chrono::milliseconds(10) * (1U << std::min(Number, 5U));
}

} // namespace

Caller::Caller(const Executor &Context, const Clock &TimeSource,
               CallerSettings NewSettings, CallLog &Log)
    : Context(Context), TimeSource(TimeSource),
      Settings(std::move(NewSettings)), Log(Log), Generator(Settings.Seed),
      Pool(Context, TimeSource, IdleTimeout), AddressTimer(Context),
      WakeTimer(Context) {
  Limits.BodyBytes = std::uint64_t{32} * 1024 * 1024;
}

Awaitable<void> Caller::run() {
  const auto Self = shared_from_this();
  if (Settings.DirectTarget) {
    Addresses = {*Settings.DirectTarget};
  } else {
    asio::co_spawn(
        Context, [Self] { return Self->refreshAddresses(); }, asio::detached);
    const TimePoint AddressDeadline =
        TimeSource.now() + std::chrono::seconds(10);
    while (Addresses.empty() && TimeSource.now() < AddressDeadline &&
           !IsStopping) {
      WakeTimer.expires_after(std::chrono::milliseconds(10));
      co_await WakeTimer.async_wait(UseTuple);
    }
  }
  Started = TimeSource.now();
  if (Settings.Rate > 0)
    co_await openLoop();
  else
    co_await closedLoop();
  while (Outstanding > 0) {
    WakeTimer.expires_at(TimePoint::max());
    co_await WakeTimer.async_wait(UseTuple);
  }
  Ended = TimeSource.now();
  IsStopping = true;
  AddressTimer.cancel();
}

void Caller::stop() {
  IsStopping = true;
  WakeTimer.cancel();
}

bool Caller::canStartCall() const {
  return !IsStopping && CallsStarted < Settings.Count &&
         TimeSource.now() < Started + Settings.Length;
}

Awaitable<void> Caller::refreshAddresses() {
  const auto Self = shared_from_this();
  while (!IsStopping) {
    auto Candidates = Addresses;
    Candidates.insert(Candidates.end(), Settings.Hosts.begin(),
                      Settings.Hosts.end());
    bool Known = false;
    for (const Endpoint &Host : Candidates) {
      Known = co_await fetchAddresses(Host);
      if (Known || IsStopping)
        break;
    }
    Pool.closeExpired();
    // The next refresh happens before the addresses expire.
    AddressTimer.expires_after(
        Known ? Lifetime * 9 / 10 : Duration(std::chrono::milliseconds(100)));
    co_await AddressTimer.async_wait(UseTuple);
  }
}

Awaitable<bool> Caller::fetchAddresses(Endpoint Host) {
  HttpRequest Request(http::verb::get,
                      "/v1/addresses?service=" + Settings.Service + "&keys=0",
                      11);
  const auto Response = co_await fetch(Host, std::move(Request), Limits,
                                       TimeSource.now() + FetchTimeout);
  if (!Response || Response.value().result() != http::status::ok)
    co_return false;
  const auto Body = parseObject(Response.value().body());
  if (!Body)
    co_return false;
  std::vector<Endpoint> Parsed;
  for (const std::string &Text : readStrings(Body.value(), "addresses"))
    if (auto Address = parseEndpoint(Text))
      Parsed.push_back(std::move(Address.value()));
  if (Parsed.empty())
    co_return false;
  Addresses = std::move(Parsed);
  Duration ReportedLifetime = std::chrono::seconds(1);
  if (readMilliseconds(Body.value(), "lifetime_ms", ReportedLifetime))
    Lifetime =
        std::max(ReportedLifetime, Duration(std::chrono::milliseconds(50)));
  co_return true;
}

Awaitable<bool> Caller::fetchKeys(Endpoint Host) {
  HttpRequest Request(http::verb::post,
                      "/v1/keys?service=" + Settings.Service +
                          "&count=" + std::to_string(KeysPerFetch),
                      11);
  const auto Response = co_await fetch(Host, std::move(Request), Limits,
                                       TimeSource.now() + FetchTimeout);
  if (!Response || Response.value().result() != http::status::ok) {
    AvoidUntil[Host] = TimeSource.now() + AvoidDuration;
    co_return false;
  }
  const auto Body = parseObject(Response.value().body());
  if (!Body)
    co_return false;
  for (std::string &Key : readStrings(Body.value(), "keys"))
    Keys.push_back({std::move(Key), Host});
  co_return !Keys.empty();
}

Awaitable<bool> Caller::acquireKey(std::shared_ptr<Call> Current) {
  for (std::uint32_t Number = 0; Keys.empty() && Number < 4; ++Number) {
    // g++ 12 destroys a temporary twice when the condition contains co_await.
    const Endpoint Host = chooseAddress(Call{}, Number);
    const bool IsFetched = co_await fetchKeys(Host);
    if (!IsFetched) {
      Timer Pause(Context);
      Pause.expires_after(backoffDelay(Number));
      co_await Pause.async_wait(UseTuple);
    }
  }
  if (Keys.empty())
    co_return false;
  Current->Key = std::move(Keys.front());
  Keys.pop_front();
  co_return true;
}

Awaitable<void> Caller::openLoop() {
  std::exponential_distribution<double> Gap(Settings.Rate);
  Timer PaceTimer(Context);
  TimePoint Due = Started;
  while (canStartCall()) {
    Due += Duration(static_cast<Duration::rep>(Gap(Generator) * 1e9));
    if (Due > TimeSource.now()) {
      PaceTimer.expires_at(std::min(Due, Started + Settings.Length));
      co_await PaceTimer.async_wait(UseTuple);
    }
    if (!canStartCall())
      co_return;
    if (Outstanding >= Settings.Outstanding) {
      ++CallsStarted;
      Log.recordSkipped();
      continue;
    }
    const auto Current = createCall(Due);
    ++Outstanding;
    asio::co_spawn(
        Context,
        [Self = shared_from_this(), Current] { return Self->perform(Current); },
        [Self = shared_from_this()](const std::exception_ptr &) {
          --Self->Outstanding;
          Self->WakeTimer.cancel();
        });
  }
}

Awaitable<void> Caller::closedLoop() {
  const auto Work = [](std::shared_ptr<Caller> Self) -> Awaitable<void> {
    while (Self->canStartCall())
      co_await Self->perform(Self->createCall(Self->TimeSource.now()));
  };
  for (std::uint32_t Worker = 0; Worker < Settings.Outstanding; ++Worker) {
    ++Outstanding;
    asio::co_spawn(Context, Work(shared_from_this()),
                   [Self = shared_from_this()](const std::exception_ptr &) {
                     --Self->Outstanding;
                     Self->WakeTimer.cancel();
                   });
  }
  co_return;
}

std::shared_ptr<Caller::Call> Caller::createCall(TimePoint Due) {
  auto Next = std::make_shared<Call>();
  Next->Token = Settings.Name + "-" + std::to_string(++CallsStarted);
  Next->Keyed = !Settings.DirectTarget && Settings.KeyedShare > 0 &&
                std::bernoulli_distribution(Settings.KeyedShare)(Generator);
  Next->Crashes =
      Settings.CrashEvery > 0 && CallsStarted % Settings.CrashEvery == 0;
  // The suffix lets the log comparison find crashing requests by their token.
  if (Next->Crashes)
    Next->Token += "-crash";
  Next->Due = Due;
  return Next;
}

// A keyed call uses the same token and key for all sends until a response says
// that the key was not run; the call then continues with the next key.
Awaitable<void> Caller::perform(std::shared_ptr<Call> Current) {
  SendOutcome Last = SendOutcome::NotSent;
  bool MayHaveRun = false;
  for (std::uint32_t Number = 0; Number < Settings.MaximumSends; ++Number) {
    if (Current->Keyed && Current->Key.Key.empty() &&
        !co_await acquireKey(Current))
      break;
    Last = co_await send(Current, Number);
    if (Last == SendOutcome::Answer || Last == SendOutcome::WrongAnswer ||
        Last == SendOutcome::FailedAnswer)
      break;
    // "Not run" covers all sends with this key, not only the last one.
    if (Last == SendOutcome::NotRun)
      MayHaveRun = false;
    else if (Last != SendOutcome::NotSent)
      MayHaveRun = true;
    if (Last == SendOutcome::NotRun || Last == SendOutcome::Unknown) {
      Timer Pause(Context);
      Pause.expires_after(backoffDelay(Number));
      co_await Pause.async_wait(UseTuple);
    }
  }
  if (Last == SendOutcome::NotSent && MayHaveRun)
    Last = SendOutcome::Broken;
  Log.recordCall(Last, TimeSource.now() - Current->Due);
}

Awaitable<SendOutcome> Caller::send(std::shared_ptr<Call> Current,
                                    std::uint32_t Number) {
  // Each send of an idempotent request has its own token, so that a false "not
  // run" can be distinguished from an earlier send that ran. A crashing request
  // keeps its token, because hosts must be able to recognize the request.
  const bool HasOwnToken = !Current->Keyed && !Current->Crashes;
  const std::string Token = HasOwnToken
                                ? Current->Token + "." + std::to_string(Number)
                                : Current->Token;
  const Endpoint Host = chooseAddress(*Current, Number);
  SendRecord Record;
  if (HasOwnToken || Current->Keyed)
    Record.Token = Token;
  Record.Key = Current->Key.Key;
  Record.Host = formatEndpoint(Host);
  Record.Sent = TimeSource.now();
  HttpRequest Request = makeRequest(*Current, Token);
  Request.set(http::field::host, Record.Host);
  const TimePoint Deadline = Record.Sent + Settings.Timeout + AnswerSlack;
  const auto Connection = co_await Pool.acquire(Host, Deadline);
  if (!Connection) {
    AvoidUntil[Host] = TimeSource.now() + AvoidDuration;
    Record.Outcome = SendOutcome::NotSent;
    Record.Reason = Connection.error().Message;
  } else {
    auto Response =
        co_await Connection.value()->exchange(Request, Limits, Deadline);
    if (Response) {
      const HttpResponse &Received = Response.value();
      Record.Outcome = classifyResponse(Received, Token, Settings.AnswerBytes);
      Record.Reason = std::string(Received["Comfreyrill-Reason"]);
      Record.RequestId = std::string(Received["Comfreyrill-Request-Id"]);
      if (Record.Outcome == SendOutcome::WrongAnswer)
        Record.Reason = Received.body().substr(0, 80);
      if (Record.Outcome == SendOutcome::NotRun)
        Current->Key = {std::string(Received["Comfreyrill-Next-Key"]), Host};
    } else {
      const ExchangeFailure &Failure = Response.error();
      Record.Reason = Failure.Cause.Message;
      if (Failure.Progress == WriteProgress::NothingWritten)
        Record.Outcome = SendOutcome::NotSent;
      else if (Failure.Cause.Kind == ErrorKind::TimedOut)
        Record.Outcome = SendOutcome::TimedOut;
      if (Record.Outcome != SendOutcome::NotSent)
        AvoidUntil[Host] = TimeSource.now() + AvoidDuration;
    }
    Pool.release(Host, Connection.value());
  }
  Record.Ended = TimeSource.now();
  const SendOutcome Outcome = Record.Outcome;
  Log.recordSend(std::move(Record));
  co_return Outcome;
}

HttpRequest Caller::makeRequest(const Call &Current,
                                const std::string &Token) const {
  std::string Path =
      Settings.DirectTarget ? std::string() : "/v1/call/" + Settings.Service;
  Path += Current.Keyed ? "/checkout" : "/lookup";
  Path += "?token=" + Token;
  if (Current.Crashes)
    Path += "&crash=1";
  if (Settings.AnswerBytes > 0)
    Path += "&answer_bytes=" + std::to_string(Settings.AnswerBytes);
  HttpRequest Request(Current.Keyed ? http::verb::post : http::verb::get, Path,
                      11);
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Settings.Timeout)
          .count();
  Request.set("Comfreyrill-Timeout-Ms", std::to_string(Milliseconds));
  if (Current.Keyed) {
    Request.set("Idempotency-Key", Current.Key.Key);
    Request.body() = std::string(Settings.BodyBytes, 'b');
  }
  Request.prepare_payload();
  return Request;
}

// The first send of a keyed request goes to the issuer of its key, which avoids
// a relay; retries use the other addresses in round-robin order.
Endpoint Caller::chooseAddress(const Call &Current,
                               std::uint32_t Number) const {
  const TimePoint Now = TimeSource.now();
  const auto IsAvoided = [&](const Endpoint &Host) {
    const auto Position = AvoidUntil.find(Host);
    return Position != AvoidUntil.end() && Now < Position->second;
  };
  if (Number == 0 && !Current.Key.Key.empty() && !IsAvoided(Current.Key.Issuer))
    return Current.Key.Issuer;
  const auto &Known = Addresses.empty() ? Settings.Hosts : Addresses;
  for (std::size_t Step = 0; Step < Known.size(); ++Step) {
    const Endpoint &Host = Known[(Number + Step) % Known.size()];
    if (!IsAvoided(Host))
      return Host;
  }
  return Known[Number % Known.size()];
}

} // namespace comfreyrill::standins
