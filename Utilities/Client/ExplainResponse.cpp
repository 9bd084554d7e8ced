#include <Client/ExplainResponse.h>

#include <LibJson/JsonReader.h>

#include <limits>
#include <utility>

namespace comfreyrill {

namespace {

constexpr std::uint64_t NoLimit = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t CountLimit = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t ResponseBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t DepthMaximum = 8;
constexpr std::size_t TextBytes = std::size_t{16} * 1024;
constexpr double NumberLimit = 1e12;
// Ages of load reports and times of exclusions of targets are bounded by the
// uptime of hosts.
constexpr Duration TimeLimit = std::chrono::hours(24) * 3650;

void readText(JsonReader Reader, std::string &Out) {
  Reader.string(Out, 0, TextBytes);
}

void readCount(JsonReader Reader, std::uint32_t &Out) {
  Reader.integer(Out, 0, CountLimit);
}

void readNumber(JsonReader Reader, double &Out) {
  Reader.number(Out, 0, NumberLimit);
}

void readTime(JsonReader Reader, Duration &Out) {
  Reader.duration(Out, Duration::zero(), TimeLimit);
}

std::optional<Duration> readOptionalTime(JsonReader Reader) {
  Duration Time{0};
  if (!Reader.duration(Time, Duration::zero(), TimeLimit))
    return std::nullopt;
  return Time;
}

std::vector<NamedShare> readShares(JsonReader Reader,
                                   std::string_view NameField) {
  std::vector<NamedShare> Read;
  Reader.array(0, JsonReader::NoMaximum, [&](JsonReader Element) {
    NamedShare Entry;
    readText(Element.required(NameField), Entry.Name);
    readNumber(Element.required("share"), Entry.Share);
    Read.push_back(std::move(Entry));
  });
  return Read;
}

ExplainedRoute readRoute(JsonReader Reader) {
  ExplainedRoute Read;
  readText(Reader.required("name"), Read.Name);
  readText(Reader.required("host"), Read.Host);
  readText(Reader.required("path_prefix"), Read.PathPrefix);
  readText(Reader.required("semantics"), Read.Semantics);
  readCount(Reader.required("priority"), Read.Priority);
  readTime(Reader.required("latency_objective_ms"), Read.LatencyObjective);
  readTime(Reader.required("timeout_ms"), Read.Timeout);
  return Read;
}

ExplainedAccount readAccount(JsonReader Reader) {
  ExplainedAccount Read;
  readText(Reader.required("name"), Read.Name);
  readNumber(Reader.required("rate_per_s"), Read.Rate);
  readNumber(Reader.required("burst"), Read.Burst);
  JsonReader Token = Reader.optional("token");
  if (!Token.isPresent())
    return Read;
  ExplainedToken &Made = Read.Token.emplace();
  readText(Token.required("state"), Made.State);
  readCount(Token.required("held"), Made.Held);
  readTime(Token.required("refused_for_ms"), Made.RefusedFor);
  readText(Token.optional("owner"), Made.Owner);
  Token.optional("owned_here").boolean(Made.IsOwnedHere);
  return Read;
}

ExplainedTarget readTarget(JsonReader Reader) {
  ExplainedTarget Read;
  readText(Reader.required("id"), Read.Id);
  readText(Reader.required("domain"), Read.Domain);
  readText(Reader.required("use"), Read.Use);
  readText(Reader.optional("reason"), Read.Reason);
  readText(Reader.optional("domain_reason"), Read.DomainReason);
  Read.For = readOptionalTime(Reader.optional("for_ms"));
  double Factor = 0;
  if (Reader.optional("latency_factor").number(Factor, 0, NumberLimit))
    Read.LatencyFactor = Factor;
  JsonReader Load = Reader.optional("load");
  if (!Load.isPresent())
    return Read;
  ExplainedLoad &Made = Read.Load.emplace();
  readCount(Load.required("in_flight"), Made.InFlight);
  readCount(Load.required("slots"), Made.Slots);
  readCount(Load.required("queued"), Made.Queued);
  readNumber(Load.required("slowdown"), Made.Slowdown);
  readTime(Load.required("age_ms"), Made.Age);
  return Read;
}

ExplainedRejection readRejection(JsonReader Reader) {
  ExplainedRejection Read;
  readText(Reader.required("reason"), Read.Reason);
  readCount(Reader.required("status"), Read.Status);
  double Seconds = 0;
  if (Reader.optional("retry_after_s").number(Seconds, 0, NumberLimit))
    Read.RetryAfter = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
  return Read;
}

ExplainedOutcome readOutcome(JsonReader Reader) {
  ExplainedOutcome Read;
  readText(Reader.required("result"), Read.Result);
  readText(Reader.required("reason"), Read.Reason);
  readNumber(Reader.optional("likelihood"), Read.Likelihood);
  JsonReader Probed = Reader.optional("probed_first");
  if (Probed.isPresent())
    Read.ProbedFirst = readShares(Probed, "target");
  JsonReader Selected = Reader.optional("selected");
  if (Selected.isPresent())
    Read.Selected = readShares(Selected, "target");
  Read.HeldFor = readOptionalTime(Reader.optional("held_for_ms"));
  JsonReader Later = Reader.optional("then");
  if (Read.Result == "refuse")
    Read.Rejection = readRejection(Reader);
  else if (Later.isPresent())
    Read.Rejection = readRejection(Later);
  return Read;
}

} // namespace

Result<ExplainResponse> parseExplainResponse(std::string_view Text) {
  JsonDocument Document(Text, {ResponseBytes, DepthMaximum});
  JsonReader Root = Document.root();
  ExplainResponse Read;
  readText(Root.required("host"), Read.Host);
  readText(Root.required("domain"), Read.Domain);
  Root.optional("draining").boolean(Read.IsDraining);
  Root.required("configuration_version")
      .integer(Read.ConfigurationVersion, 0, NoLimit);
  JsonReader Route = Root.optional("route");
  if (Route.isPresent())
    Read.Route = readRoute(Route);
  JsonReader Services = Root.optional("services");
  if (Services.isPresent())
    Read.Services = readShares(Services, "name");
  JsonReader Account = Root.optional("account");
  if (Account.isPresent())
    Read.Account = readAccount(Account);
  readText(Root.optional("service"), Read.Service);
  readTime(Root.optional("expected_time_ms"), Read.ExpectedTime);
  Root.optional("targets").array(
      0, JsonReader::NoMaximum, [&](JsonReader Element) {
        Read.Targets.push_back(readTarget(std::move(Element)));
      });
  Read.Outcome = readOutcome(Root.required("outcome"));
  TRY(Document.finish("explanation", UnknownFields::Ignore));
  return Read;
}

} // namespace comfreyrill
