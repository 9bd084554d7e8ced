#include "SoakTarget.h"

#include <LibCore/Hash.h>
#include <StandIns/HttpHelpers.h>

#include <charconv>

namespace comfreyrill::soak {

namespace {

constexpr std::uint32_t Slots = 4;
constexpr Duration MeanServiceTime = std::chrono::milliseconds(40);
constexpr int SlowFactor = 4;
// Bodies differ in length, so that a truncated body is detected.
constexpr std::size_t MaximumBodyBytes = 20000;
constexpr std::uint64_t FirstStartMilliseconds = 1771918829000;
// Unknown to the gateway, which passes it on.
constexpr const char *ProcessHeader = "Soak-Process";
// Marks a probe with the connection on which it came.
constexpr const char *ConnectionHeader = "Soak-Connection";
constexpr std::string_view ProbeLine = "GET /health HTTP/1.1\r\n";

/// Returns the index of the host from a request path such as /read/h3/ID.
std::size_t hostIndexFromPath(std::string_view Path) {
  const std::size_t Position = Path.find("/h");
  return Position == std::string_view::npos
             ? 0
             : static_cast<std::size_t>(
                   std::atoi(std::string(Path.substr(Position + 2)).c_str()));
}

} // namespace

std::optional<TargetProcess> responderOf(const HttpResponse &Answer) {
  const auto Id = Answer["Backend-Id"];
  const auto Number = Answer[ProcessHeader];
  if (Id.empty())
    return std::nullopt;
  return TargetProcess{{Id.data(), Id.size()},
                       static_cast<std::uint32_t>(std::atoi(
                           std::string(Number.data(), Number.size()).c_str()))};
}

std::string responseBody(const std::string &Request) {
  const std::uint64_t Hash = stableHash({Request});
  std::string Body = Request + ' ';
  Body.append(Hash % MaximumBodyBytes, static_cast<char>('a' + Hash % 26));
  return Body;
}

SoakTarget::SoakTarget(const Executor &Context, const Clock &TimeSource,
                       Random &Generator, SoakRecords &Records,
                       TargetProcess Process, std::string Domain)
    : Context(Context), TimeSource(TimeSource), Generator(Generator),
      Records(Records), Process(std::move(Process)), Domain(std::move(Domain)),
      Server(std::make_shared<HttpServer>(
          Context, TimeSource, HttpLimits{},
          [this](HttpRequest Request, std::shared_ptr<Disconnect> CallerLeft) {
            return handle(std::move(Request), std::move(CallerLeft));
          },
          standins::errorResponse)) {}

SoakTarget::~SoakTarget() { Server->close(); }

Result<void> SoakTarget::start(std::shared_ptr<LoopbackProxy> Existing) {
  TRY(Server->listen({"127.0.0.1", 0}));
  if (Existing) {
    Link = std::move(Existing);
    Link->redirect(Server->localEndpoint());
    observeLink();
    return outcome::success();
  }
  Link = std::make_shared<LoopbackProxy>(Context, Server->localEndpoint());
  observeLink();
  return Link->listen("127.0.0.1");
}

// The server does not tell its handler on which connection a request came.
// Probes have no id by which they could be found again, so they are marked.
void SoakTarget::observeLink() {
  Link->observe([this](std::size_t Connection, std::string &Data) {
    if (Data.starts_with(ProbeLine)) {
      Data.insert(ProbeLine.size(), std::string(ConnectionHeader) + ": " +
                                        std::to_string(Connection) + "\r\n");
      return;
    }
    constexpr std::string_view Name = "\r\nRequest-Id: ";
    const std::size_t Begin = Data.find(Name);
    if (Begin == std::string::npos)
      return;
    const std::size_t IdBegin = Begin + Name.size();
    ConnectionsByRequest[Data.substr(IdBegin, Data.find('\r', IdBegin) -
                                                  IdBegin)] = Connection;
  });
}

std::size_t SoakTarget::takeConnection(const std::string &Request) {
  const auto Known = ConnectionsByRequest.extract(Request);
  return Known ? Known.mapped() : 0;
}

void SoakTarget::crash() {
  HasCrashed = true;
  Server->close();
}

boost::json::value SoakTarget::registration() const {
  return boost::json::object{{"service", "stock"},
                             {"address", formatEndpoint(Link->endpoint())},
                             {"zone", Domain},
                             {"version", "1"},
                             {"slots", Slots},
                             {"state", IsDraining ? "draining" : "ready"},
                             {"coldLeftS", 0},
                             {"sequence", 1},
                             {"born", FirstStartMilliseconds + Process.Number}};
}

std::string SoakTarget::load() const {
  return std::to_string(Running) + ",0," + std::to_string(Slots) + "," +
         (Fault == TargetFault::Slow ? std::to_string(SlowFactor * 100)
                                     : "100");
}

void SoakTarget::identify(HttpResponse &Answer) const {
  Answer.set("Backend-Id", Process.Id);
  Answer.set(ProcessHeader, std::to_string(Process.Number));
  if (IsLeaving)
    Answer.set("Server-Leaving", "1");
  if (RequestLimit > 0)
    Answer.set("Server-Limit", std::to_string(RequestLimit));
}

HttpResponse SoakTarget::answerProbe(const HttpRequest &Request) {
  const auto Marked = Request[ConnectionHeader];
  std::size_t Connection = 0;
  std::from_chars(Marked.data(), Marked.data() + Marked.size(), Connection);
  const bool IsRefused = isPaused() && RefusesProbes;
  Records.Probes.push_back(
      {Process, Connection, TimeSource.now(),
       IsRefused ? Duration(RetryAfter) : Duration::zero()});
  HttpResponse Health = standins::textResponse(
      IsLeaving || IsRefused ? http::status::service_unavailable
                             : http::status::ok,
      "");
  identify(Health);
  if (IsRefused)
    Health.set(http::field::retry_after, std::to_string(RetryAfter.count()));
  Health.set("Backend-Load", load());
  return Health;
}

Awaitable<HttpResponse>
SoakTarget::handle(HttpRequest Request,
                   std::shared_ptr<Disconnect> CallerLeft) {
  const auto Named = Request["Request-Id"];
  const std::string RequestId(Named.data(), Named.size());
  const bool IsForOtherInstance = Request["Expected-Instance"] != Process.Id;
  if (Request.target() == "/health" && !IsForOtherInstance)
    co_return answerProbe(Request);
  if (RequestId.empty() && !IsForOtherInstance) {
    HttpResponse Refusal(http::status::bad_request, 11);
    Refusal.set("Not-Executed", "1");
    Refusal.prepare_payload();
    co_return Refusal;
  }
  const bool IsFaulty = ++Handled % 2 == 0;
  const bool IsShed = isPaused() || Running >= Slots ||
                      (Fault == TargetFault::Shed && IsFaulty);
  HttpResponse Answer(http::status::ok, 11);
  Answer.set("Request-Id", RequestId);
  Answer.set("Backend-Load", load());
  const std::size_t ArrivalIndex = Records.Arrivals.size();
  Records.Arrivals.push_back(
      {RequestId, Process,
       hostIndexFromPath({Request.target().data(), Request.target().size()}),
       TimeSource.now(), !IsForOtherInstance && !IsShed, IsForOtherInstance});
  Records.Arrivals[ArrivalIndex].Connection = takeConnection(RequestId);
  if (IsForOtherInstance || IsShed) {
    Answer.result(IsForOtherInstance ? http::status::misdirected_request
                                     : http::status::service_unavailable);
    Answer.set("Not-Executed", "1");
    identify(Answer);
    Records.Arrivals[ArrivalIndex].IsLeaving = IsLeaving;
    if (isPaused() && !IsForOtherInstance) {
      Answer.set(http::field::retry_after, std::to_string(RetryAfter.count()));
      Records.Arrivals[ArrivalIndex].RetryAfter = RetryAfter;
    }
    Answer.prepare_payload();
    co_return Answer;
  }
  ++Running;
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  Timer Work(Context);
  Work.expires_after(std::chrono::duration_cast<Duration>(
      MeanServiceTime * Spread(Generator) *
      (Fault == TargetFault::Slow ? SlowFactor : 1)));
  CallerLeft->onOccurrence([&Work] { Work.cancel(); });
  co_await Work.async_wait(UseTuple);
  CallerLeft->onOccurrence(nullptr);
  --Running;
  identify(Answer);
  Records.Arrivals[ArrivalIndex].IsLeaving = IsLeaving;
  Answer.body() = responseBody(RequestId);
  if (Fault == TargetFault::LoseAnswer)
    Link->inject(LinkFault::Reset, Duration::zero());
  if (Fault != TargetFault::Unsigned || !IsFaulty)
    Answer.set("Response-Signature", "3e1b");
  Answer.prepare_payload();
  co_return Answer;
}

} // namespace comfreyrill::soak
