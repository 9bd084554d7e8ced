#include <Client/Commands.h>

#include <Client/Apply.h>
#include <Client/ErrorReport.h>
#include <Client/Explain.h>
#include <Client/HostClient.h>
#include <Client/Table.h>
#include <LibJson/JsonReader.h>
#include <LibJson/JsonText.h>
#include <LibManifest/ManifestReader.h>
#include <LibManifest/ManifestWriter.h>
#include <LibManifest/PlatformLimits.h>

#include <boost/json/serialize.hpp>
#include <fstream>
#include <iterator>
#include <limits>

namespace comfreyrill {

namespace json = boost::json;

namespace {

// Long-poll wait of log --follow; shorter than the idle timeouts of connections
// on the platform and on hosts.
constexpr std::int64_t FollowWaitMs = 20'000;

Result<Manifest> readManifestFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{ErrorKind::InvalidInput,
                 "cannot open " + Path + "; check its name and permissions"};
  // Reads one byte more than allowed, so that a file that is too large is
  // detected.
  std::string Text(MaximumPlatformValueBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(File.gcount()));
  auto Parsed = parseManifest(Text);
  if (!Parsed)
    return Error{Parsed.error().Kind, Path + ": " + Parsed.error().Message};
  return Parsed;
}

ExitCode checkManifestFile(ClientContext &Context) {
  const auto Content = readManifestFile(Context.Options.File);
  if (!Content)
    return reportError(Context, Content.error());
  std::size_t Targets = 0;
  for (const ServiceConfig &Service : Content.value().Services)
    Targets += Service.Targets.size();
  const std::size_t Services = Content.value().Services.size();
  if (Context.Options.Json)
    Context.Print(prettyJson(json::object{
        {"valid", true}, {"services", Services}, {"targets", Targets}}));
  else
    Context.Print(Context.Options.File +
                  " is valid: " + std::to_string(Services) + " services, " +
                  std::to_string(Targets) + " targets\n");
  return ExitCode::Done;
}

Awaitable<Result<ManifestEnvelope>> fetchFromHosts(ClientContext &Context,
                                                   Error Cause) {
  for (const Endpoint &Host : Context.Options.Hosts) {
    const auto Body = co_await sendHostRequest(
        Host, http::verb::get, "/v1/manifest", attemptDeadline(Context));
    if (Body)
      co_return parseEnvelope(Body.value());
    Cause = Body.error();
  }
  Cause.Message += "; name a reachable host with --host ip:port";
  co_return Cause;
}

Awaitable<ExitCode> fetchManifest(ClientContext &Context) {
  const auto Observed =
      co_await readEnvelope(Context, attemptDeadline(Context));
  Result<ManifestEnvelope> Fetched =
      Error{ErrorKind::NotFound, "no manifest is in force; write one and "
                                 "apply it with --based-on 0"};
  if (!Observed)
    Fetched = co_await fetchFromHosts(Context, Observed.error());
  else if (Observed.value().Envelope)
    Fetched = *Observed.value().Envelope;
  if (!Fetched)
    co_return reportError(Context, Fetched.error());
  if (Context.Options.Json) {
    Context.Print(prettyJson(
        json::object{{"number", Fetched.value().Number.Value},
                     {"apply_id", Fetched.value().Apply.Value},
                     {"manifest", manifestToJson(Fetched.value().Content)}}));
  } else {
    // Standard output holds the manifest alone, so that it can be redirected
    // to a file, edited and applied.
    Context.Print(formatManifest(Fetched.value().Content));
    Context.PrintError("manifest " +
                       std::to_string(Fetched.value().Number.Value) +
                       " is in force; apply changes to it with --based-on " +
                       std::to_string(Fetched.value().Number.Value) + "\n");
  }
  co_return ExitCode::Done;
}

Awaitable<ExitCode> showStatus(ClientContext &Context) {
  const auto View = co_await fetchFleetView(Context);
  if (!View)
    co_return reportError(Context, View.error());
  const ManifestNumber Expected = View.value().Expected;
  const auto Late = lateHosts(View.value().Hosts, Expected);
  if (Context.Options.Json) {
    json::array Hosts;
    for (const HostDescription &Host : View.value().Hosts)
      Hosts.push_back(
          json::object{{"host", Host.Host.Value},
                       {"state", Host.State},
                       {"manifest_number", Host.InForce.Value},
                       {"late", !lateHosts({Host}, Expected).empty()}});
    Context.Print(prettyJson(json::object{{"manifest_number", Expected.Value},
                                          {"hosts", std::move(Hosts)}}));
  } else {
    std::vector<std::vector<std::string>> Rows{
        {"HOST", "STATE", "MANIFEST", "LATE"}};
    for (const HostDescription &Host : View.value().Hosts)
      Rows.push_back({Host.Host.Value, Host.State,
                      std::to_string(Host.InForce.Value),
                      lateHosts({Host}, Expected).empty() ? "" : "late"});
    Context.Print("manifest " + std::to_string(Expected.Value) + ", " +
                  std::to_string(Late.size()) + " of " +
                  std::to_string(View.value().Hosts.size()) + " hosts late\n" +
                  formatTable(Rows));
  }
  co_return Late.empty() ? ExitCode::Done : ExitCode::LateHosts;
}

Awaitable<ExitCode> showHosts(ClientContext &Context) {
  const auto View = co_await fetchFleetView(Context);
  if (!View)
    co_return reportError(Context, View.error());
  json::array Hosts;
  std::vector<std::vector<std::string>> Rows{
      {"HOST", "DOMAIN", "STATE", "CALLERS", "PEERS", "ADMIN"}};
  for (const HostDescription &Host : View.value().Hosts) {
    Hosts.push_back(hostToJson(Host));
    Rows.push_back({Host.Host.Value, Host.Domain.Value, Host.State,
                    Host.CallerAddress, Host.PeerAddress, Host.AdminAddress});
  }
  if (Context.Options.Json)
    Context.Print(prettyJson(json::object{{"hosts", std::move(Hosts)}}));
  else
    Context.Print(formatTable(Rows));
  co_return ExitCode::Done;
}

// A target that drains stays away for longer than one that is paused.
std::string targetState(const TargetStatus &Target) {
  if (Target.IsDraining)
    return "draining";
  if (Target.PauseLeft > Duration::zero())
    return "paused " +
           std::to_string(
               std::chrono::ceil<std::chrono::seconds>(Target.PauseLeft)
                   .count()) +
           " s";
  return Target.IsEjected ? "ejected" : "in use";
}

Awaitable<ExitCode> showTargets(ClientContext &Context) {
  const auto Status = co_await fetchAnyHostStatus(Context);
  if (!Status)
    co_return reportError(Context, Status.error());
  json::array Services;
  std::vector<std::vector<std::string>> Rows{{"SERVICE", "TARGET", "ADDRESS",
                                              "DOMAIN", "SLOTS", "IN-FLIGHT",
                                              "REPORTED", "STATE"}};
  for (const ServiceStatus &Service : Status.value().Services) {
    Services.push_back(serviceToJson(Service));
    for (const TargetStatus &Target : Service.Targets)
      Rows.push_back({Service.Name.Value, Target.Id.Value, Target.Address,
                      Target.Domain.Value, std::to_string(Target.Slots),
                      std::to_string(Target.InFlight),
                      std::to_string(Target.ReportedInFlight),
                      targetState(Target)});
  }
  const std::string &Host = Status.value().Self.Host.Value;
  if (Context.Options.Json)
    Context.Print(prettyJson(
        json::object{{"host", Host}, {"services", std::move(Services)}}));
  else
    Context.Print("as seen by host " + Host + "\n" + formatTable(Rows));
  co_return ExitCode::Done;
}

// Draining is idempotent, so the request is repeated when its response is lost.
Awaitable<ExitCode> drainHost(ClientContext &Context) {
  const auto Host = co_await findAdminEndpoint(Context);
  if (!Host)
    co_return reportError(Context, Host.error());
  bool MayHaveArrived = false;
  Result<std::string> Response = Error{ErrorKind::Unavailable, ""};
  for (int Attempt = 0; Attempt < 3 && !Response; ++Attempt) {
    Response = co_await sendHostRequest(Host.value(), http::verb::post,
                                        "/v1/drain", attemptDeadline(Context));
    if (!Response && Response.error().Kind != ErrorKind::ConnectionFailed)
      MayHaveArrived = true;
  }
  if (!Response) {
    const ExitCode Code = reportError(Context, Response.error());
    co_return Code == ExitCode::Unavailable &&MayHaveArrived
        ? ExitCode::OutcomeUnknown
        : Code;
  }
  if (Context.Options.Json)
    Context.Print(prettyJson(
        json::object{{"host", Context.Options.Host}, {"state", "leaving"}}));
  else
    Context.Print("host " + Context.Options.Host +
                  " is leaving; it exits once its calls are done and the "
                  "address lifetime has passed\n");
  co_return ExitCode::Done;
}

/// One response of a host to GET /v1/decisions.
struct LogPage {
  /// Position after the last line, from which the next request continues.
  std::uint64_t Next = 0;
  std::vector<std::string> Lines;
};

Result<LogPage> parseLogPage(std::string_view Text) {
  constexpr std::size_t PageBytes = std::size_t{8} * 1024 * 1024;
  JsonDocument Document(Text, {PageBytes, 8});
  JsonReader Root = Document.root();
  LogPage Page;
  Root.required("next").integer(Page.Next, 0,
                                std::numeric_limits<std::uint64_t>::max());
  Root.required("lines").array(0, JsonReader::NoMaximum,
                               [&](JsonReader Element) {
                                 std::string Line;
                                 Element.string(Line, 0, PageBytes);
                                 Page.Lines.push_back(std::move(Line));
                               });
  TRY(Document.finish("decision log", UnknownFields::Ignore));
  return Page;
}

Awaitable<ExitCode> printLog(ClientContext &Context) {
  const auto Host = co_await findAdminEndpoint(Context);
  if (!Host)
    co_return reportError(Context, Host.error());
  std::uint64_t After = 0;
  std::int64_t WaitMs = 0;
  while (true) {
    const TimePoint Deadline = Context.TimeSource.now() +
                               Context.Options.Timeout +
                               std::chrono::milliseconds(WaitMs);
    const auto Body = co_await sendHostRequest(
        Host.value(), http::verb::get,
        "/v1/decisions?after=" + std::to_string(After) +
            "&timeout_ms=" + std::to_string(WaitMs),
        Deadline);
    if (!Body)
      co_return reportError(Context, Body.error());
    const auto Page = parseLogPage(Body.value());
    if (!Page)
      co_return reportError(Context, Page.error());
    for (const std::string &Line : Page.value().Lines) {
      if (Context.Options.Json)
        Context.Print(json::serialize(json::object{{"line", Line}}) + "\n");
      else
        Context.Print(Line + "\n");
    }
    const bool IsAtEnd = Page.value().Next == After;
    if (IsAtEnd && !Context.Options.Follow)
      co_return ExitCode::Done;
    // A restarted host may return a position below the last one, so the
    // position is taken over as it is.
    After = Page.value().Next;
    if (Context.Options.Follow)
      WaitMs = FollowWaitMs;
  }
}

void printVersion(ClientContext &Context) {
  if (Context.Options.Json)
    Context.Print(prettyJson(json::object{{"version", clientVersion()}}));
  else
    Context.Print("comfreyrill " + clientVersion() + "\n");
}

} // namespace

Awaitable<ExitCode> runCommand(ClientContext &Context) {
  switch (Context.Options.Name) {
  case Command::Check:
    co_return checkManifestFile(Context);
  case Command::Apply: {
    auto Content = readManifestFile(Context.Options.File);
    if (!Content)
      co_return reportError(Context, Content.error());
    co_return co_await applyManifest(Context, std::move(Content.value()));
  }
  case Command::Fetch:
    co_return co_await fetchManifest(Context);
  case Command::Status:
    co_return co_await showStatus(Context);
  case Command::Targets:
    co_return co_await showTargets(Context);
  case Command::Hosts:
    co_return co_await showHosts(Context);
  case Command::Drain:
    co_return co_await drainHost(Context);
  case Command::Log:
    co_return co_await printLog(Context);
  case Command::Explain:
    co_return co_await explainRequest(Context);
  case Command::Version:
    printVersion(Context);
    co_return ExitCode::Done;
  case Command::Help:
    Context.Print(usageText());
    co_return ExitCode::Done;
  }
  co_return ExitCode::Usage;
}

} // namespace comfreyrill
