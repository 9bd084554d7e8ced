#include "Caller.h"

#include <algorithm>

namespace comfreyrill::standins {

namespace {

constexpr std::uint64_t KeysPerFetch = 16;
constexpr Duration FetchTime = std::chrono::seconds(1);
constexpr Duration AvoidTime = std::chrono::milliseconds(500);
/// A host answers at the deadline; the caller waits this much longer for it.
constexpr Duration AnswerSlack = std::chrono::milliseconds(300);
constexpr Duration IdleTime = std::chrono::seconds(4);

std::vector<std::string> readTexts(const boost::json::object &Object,
                                   std::string_view Name) {
  std::vector<std::string> Texts;
  const auto *Member = Object.if_contains(Name);
  if (Member != nullptr && Member->is_array())
    for (const auto &Entry : Member->as_array())
      if (Entry.is_string())
        Texts.emplace_back(Entry.as_string());
  return Texts;
}

// Backing off keeps a refused caller from adding to the overload.
Duration backOff(std::uint32_t Number) {
  return std::chrono::milliseconds(10) * (1U << std::min(Number, 5U));
}

} // namespace

Caller::Caller(const Executor &Context, const Clock &TimeSource,
               CallerSettings NewSettings, CallBook &Book)
    : Context(Context), TimeSource(TimeSource),
      Settings(std::move(NewSettings)), Book(Book), Generator(Settings.Seed),
      Pool(Context, TimeSource, IdleTime), AddressTimer(Context),
      Idle(Context) {
  Limits.BodyBytes = std::uint64_t{32} * 1024 * 1024;
}

Awaitable<void> Caller::run() {
  const auto Self = shared_from_this();
  if (Settings.Direct) {
    Addresses = {*Settings.Direct};
  } else {
    asio::co_spawn(
        Context, [Self] { return Self->keepAddresses(); }, asio::detached);
    const TimePoint Patience = TimeSource.now() + std::chrono::seconds(10);
    while (Addresses.empty() && TimeSource.now() < Patience && !IsStopping) {
      Idle.expires_after(std::chrono::milliseconds(10));
      co_await Idle.async_wait(UseTuple);
    }
  }
  Started = TimeSource.now();
  if (Settings.Rate > 0)
    co_await openLoop();
  else
    co_await closedLoop();
  while (Outstanding > 0) {
    Idle.expires_at(TimePoint::max());
    co_await Idle.async_wait(UseTuple);
  }
  Ended = TimeSource.now();
  IsStopping = true;
  AddressTimer.cancel();
}

void Caller::stop() {
  IsStopping = true;
  Idle.cancel();
}

bool Caller::mayStart() const {
  return !IsStopping && Begun < Settings.Count &&
         TimeSource.now() < Started + Settings.Length;
}

Awaitable<void> Caller::keepAddresses() {
  const auto Self = shared_from_this();
  while (!IsStopping) {
    auto Candidates = Addresses;
    Candidates.insert(Candidates.end(), Settings.Hosts.begin(),
                      Settings.Hosts.end());
    bool Known = false;
    for (const Endpoint &Host : Candidates) {
      Known = co_await askForAddresses(Host);
      if (Known || IsStopping)
        break;
    }
    Pool.closeExpired();
    // The next question comes before the addresses go out of date.
    AddressTimer.expires_after(
        Known ? Lifetime * 9 / 10 : Duration(std::chrono::milliseconds(100)));
    co_await AddressTimer.async_wait(UseTuple);
  }
}

Awaitable<bool> Caller::askForAddresses(Endpoint Host) {
  HttpRequest Request(http::verb::get,
                      "/v1/addresses?service=" + Settings.Service + "&keys=0",
                      11);
  const auto Response = co_await fetch(Host, std::move(Request), Limits,
                                       TimeSource.now() + FetchTime);
  if (!Response || Response.value().result() != http::status::ok)
    co_return false;
  const auto Body = parseObject(Response.value().body());
  if (!Body)
    co_return false;
  std::vector<Endpoint> Parsed;
  for (const std::string &Text : readTexts(Body.value(), "addresses"))
    if (auto Address = parseEndpoint(Text))
      Parsed.push_back(std::move(Address.value()));
  if (Parsed.empty())
    co_return false;
  Addresses = std::move(Parsed);
  Duration Stated = std::chrono::seconds(1);
  if (readMilliseconds(Body.value(), "lifetime_ms", Stated))
    Lifetime = std::max(Stated, Duration(std::chrono::milliseconds(50)));
  co_return true;
}

Awaitable<bool> Caller::fetchKeys(Endpoint Host) {
  HttpRequest Request(http::verb::post,
                      "/v1/keys?service=" + Settings.Service +
                          "&count=" + std::to_string(KeysPerFetch),
                      11);
  const auto Response = co_await fetch(Host, std::move(Request), Limits,
                                       TimeSource.now() + FetchTime);
  if (!Response || Response.value().result() != http::status::ok) {
    AvoidUntil[Host] = TimeSource.now() + AvoidTime;
    co_return false;
  }
  const auto Body = parseObject(Response.value().body());
  if (!Body)
    co_return false;
  for (std::string &Key : readTexts(Body.value(), "keys"))
    Keys.push_back({std::move(Key), Host});
  co_return !Keys.empty();
}

Awaitable<bool> Caller::takeKey(std::shared_ptr<Call> Current) {
  for (std::uint32_t Number = 0; Keys.empty() && Number < 4; ++Number) {
    // g++ 12 destroys a temporary in a condition that awaits twice.
    const Endpoint Host = chooseAddress(Call{}, Number);
    const bool IsFetched = co_await fetchKeys(Host);
    if (!IsFetched) {
      Timer Pause(Context);
      Pause.expires_after(backOff(Number));
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
  Timer Pace(Context);
  TimePoint Due = Started;
  while (mayStart()) {
    Due += Duration(static_cast<Duration::rep>(Gap(Generator) * 1e9));
    if (Due > TimeSource.now()) {
      Pace.expires_at(std::min(Due, Started + Settings.Length));
      co_await Pace.async_wait(UseTuple);
    }
    if (!mayStart())
      co_return;
    if (Outstanding >= Settings.Outstanding) {
      ++Begun;
      Book.recordSkipped();
      continue;
    }
    const auto Current = nextCall(Due);
    ++Outstanding;
    asio::co_spawn(
        Context,
        [Self = shared_from_this(), Current] { return Self->perform(Current); },
        [Self = shared_from_this()](const std::exception_ptr &) {
          --Self->Outstanding;
          Self->Idle.cancel();
        });
  }
}

Awaitable<void> Caller::closedLoop() {
  const auto Work = [](std::shared_ptr<Caller> Self) -> Awaitable<void> {
    while (Self->mayStart())
      co_await Self->perform(Self->nextCall(Self->TimeSource.now()));
  };
  for (std::uint32_t Worker = 0; Worker < Settings.Outstanding; ++Worker) {
    ++Outstanding;
    asio::co_spawn(Context, Work(shared_from_this()),
                   [Self = shared_from_this()](const std::exception_ptr &) {
                     --Self->Outstanding;
                     Self->Idle.cancel();
                   });
  }
  co_return;
}

std::shared_ptr<Caller::Call> Caller::nextCall(TimePoint Due) {
  auto Next = std::make_shared<Call>();
  Next->Token = Settings.Name + "-" + std::to_string(++Begun);
  Next->Keyed = !Settings.Direct && Settings.KeyedShare > 0 &&
                std::bernoulli_distribution(Settings.KeyedShare)(Generator);
  Next->Crashes = Settings.CrashEvery > 0 && Begun % Settings.CrashEvery == 0;
  // The mark lets a comparison of books find crashing requests by their token.
  if (Next->Crashes)
    Next->Token += "-crash";
  Next->Due = Due;
  return Next;
}

// A keyed call keeps its token and key through all sends until it is told that
// the key was not run; then the next key makes it a new request.
Awaitable<void> Caller::perform(std::shared_ptr<Call> Current) {
  Told Last = Told::NotSent;
  bool MayHaveRun = false;
  for (std::uint32_t Number = 0; Number < Settings.MaximumSends; ++Number) {
    if (Current->Keyed && Current->Key.Key.empty() &&
        !co_await takeKey(Current))
      break;
    Last = co_await send(Current, Number);
    if (Last == Told::Answer || Last == Told::WrongAnswer ||
        Last == Told::FailedAnswer)
      break;
    // Not run speaks of all sends under the key, not of this one alone.
    if (Last == Told::NotRun)
      MayHaveRun = false;
    else if (Last != Told::NotSent)
      MayHaveRun = true;
    if (Last == Told::NotRun || Last == Told::Unknown) {
      Timer Pause(Context);
      Pause.expires_after(backOff(Number));
      co_await Pause.async_wait(UseTuple);
    }
  }
  if (Last == Told::NotSent && MayHaveRun)
    Last = Told::Broken;
  Book.recordCall(Last, TimeSource.now() - Current->Due);
}

Awaitable<Told> Caller::send(std::shared_ptr<Call> Current,
                             std::uint32_t Number) {
  // Each send of an idempotent request has a token of its own, so that a false
  // "not run" can be told from an earlier send that ran. A crashing request
  // must stay the same to be recognised.
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
    AvoidUntil[Host] = TimeSource.now() + AvoidTime;
    Record.Outcome = Told::NotSent;
    Record.Reason = Connection.error().Message;
  } else {
    auto Response =
        co_await Connection.value()->exchange(Request, Limits, Deadline);
    if (Response) {
      const HttpResponse &Received = Response.value();
      Record.Outcome = judgeResponse(Received, Token, Settings.AnswerBytes);
      Record.Reason = std::string(Received["Comfreyrill-Reason"]);
      Record.RequestId = std::string(Received["Comfreyrill-Request-Id"]);
      if (Record.Outcome == Told::WrongAnswer)
        Record.Reason = Received.body().substr(0, 80);
      if (Record.Outcome == Told::NotRun)
        Current->Key = {std::string(Received["Comfreyrill-Next-Key"]), Host};
    } else {
      const ExchangeFailure &Failure = Response.error();
      Record.Reason = Failure.Cause.Message;
      if (Failure.Progress == WriteProgress::NothingWritten)
        Record.Outcome = Told::NotSent;
      else if (Failure.Cause.Kind == ErrorKind::TimedOut)
        Record.Outcome = Told::TimedOut;
      if (Record.Outcome != Told::NotSent)
        AvoidUntil[Host] = TimeSource.now() + AvoidTime;
    }
    Pool.release(Host, Connection.value());
  }
  Record.Ended = TimeSource.now();
  const Told Outcome = Record.Outcome;
  Book.recordSend(std::move(Record));
  co_return Outcome;
}

HttpRequest Caller::makeRequest(const Call &Current,
                                const std::string &Token) const {
  std::string Path =
      Settings.Direct ? std::string() : "/v1/call/" + Settings.Service;
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

// The first send of a keyed request goes to the issuer of its key, which spares
// a relay; later ones go through the other addresses in turn.
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
