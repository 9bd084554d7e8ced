#include <Client/Arguments.h>

#include <charconv>
#include <docopt/docopt.h>
#include <map>

namespace comfreyrill {

namespace {

using ValueMap = std::map<std::string, docopt::value>;

constexpr std::int64_t MaximumTimeoutMs = 3'600'000;

struct CommandName {
  const char *Text;
  Command Name;
};

constexpr CommandName CommandNames[] = {
    {"check", Command::Check},     {"apply", Command::Apply},
    {"fetch", Command::Fetch},     {"status", Command::Status},
    {"targets", Command::Targets}, {"hosts", Command::Hosts},
    {"drain", Command::Drain},     {"log", Command::Log},
    {"explain", Command::Explain}, {"version", Command::Version}};

Error usageError(const std::string &Message) {
  return {ErrorKind::InvalidInput, Message + "; see comfreyrill --help"};
}

Result<std::uint64_t> parseNumber(const std::string &Option,
                                  const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Position, Code] = std::from_chars(Text.data(), End, Number);
  if (Code != std::errc() || Position != End)
    return usageError(Option + " takes a whole number, not '" + Text + "'");
  return Number;
}

Result<std::vector<Endpoint>> parseEndpoints(const ValueMap &Values,
                                             const std::string &Option) {
  std::vector<Endpoint> Endpoints;
  for (const std::string &Text : Values.at(Option).asStringList()) {
    TRY(Endpoint Parsed, parseEndpoint(Text));
    Endpoints.push_back(std::move(Parsed));
  }
  return Endpoints;
}

std::string stringValue(const ValueMap &Values, const std::string &Name) {
  const docopt::value &Value = Values.at(Name);
  return Value.isString() ? Value.asString() : "";
}

Result<ExplainOptions> parseExplain(const ValueMap &Values) {
  ExplainOptions Out;
  TRY(Out.Gateway, parseEndpoint(stringValue(Values, "--gateway")));
  Out.Method = stringValue(Values, "--method");
  Out.Host = Values.at("--host").asStringList().front();
  Out.Path = stringValue(Values, "--path");
  if (!Out.Path.starts_with('/'))
    return usageError("--path takes a path that begins with a slash, not '" +
                      Out.Path + "'");
  TRY(Out.BodyBytes,
      parseNumber("--body-bytes", stringValue(Values, "--body-bytes")));
  Out.Account = stringValue(Values, "--account");
  Out.ReadsKey = Values.at("--key-from-stdin").asBool();
  return Out;
}

} // namespace

const std::string &usageText() {
  static const std::string Text = R"(Operators' client of comfreyrill.

Usage:
  comfreyrill check [--json] FILE
  comfreyrill apply [--json] [--platform=ADDRESS]... [--host=ADDRESS]... [--timeout-ms=MS] [--based-on=N] [--wait] FILE
  comfreyrill fetch [--json] [--platform=ADDRESS]... [--host=ADDRESS]... [--timeout-ms=MS]
  comfreyrill status [--json] [--platform=ADDRESS]... [--host=ADDRESS]... [--timeout-ms=MS]
  comfreyrill targets [--json] [--platform=ADDRESS]... [--host=ADDRESS]... [--timeout-ms=MS]
  comfreyrill hosts [--json] [--platform=ADDRESS]... [--host=ADDRESS]... [--timeout-ms=MS]
  comfreyrill drain [--json] [--platform=ADDRESS]... [--host=ADDRESS]... [--timeout-ms=MS] HOST
  comfreyrill log [--json] [--platform=ADDRESS]... [--host=ADDRESS]... [--timeout-ms=MS] [--follow] HOST
  comfreyrill explain --gateway=ADDRESS --method=METHOD --host=NAME --path=PATH [--body-bytes=N] [--account=NAME | --key-from-stdin] [--json]
  comfreyrill version [--json]
  comfreyrill --help

Commands:
  check    Check a manifest without applying it.
  apply    Put a manifest in force if the one it was made from still is.
  fetch    Print the manifest in force, ready to edit and apply.
  status   Show what is in force on each host and which hosts are late.
  targets  Show the targets and their load as one host sees them.
  hosts    Show the entry hosts and their addresses.
  drain    Let a host finish its calls and exit.
  log      Print the decision log of a host.
  explain  Show where a host would send a request now, and why, without
           sending it.
  version  Print the version of this client.

HOST is the name of a host, or ip:port of its admin listener.

Options:
  --platform=ADDRESS  ip:port of the platform; may be given more than once.
  --host=ADDRESS      ip:port of a host's admin listener; may be given more
                      than once. Read-only commands need one when the platform
                      is down. For explain, the Host header of the request.
  --based-on=N        Number of the manifest that the change was made from;
                      0 for none. Default: what is in force at the start.
  --wait              Wait until all hosts have the manifest in force.
  --timeout-ms=MS     Longest time for the command [default: 10000].
  --follow            Go on with new lines until interrupted.
  --gateway=ADDRESS   ip:port of the metrics listener of the host that explains.
  --method=METHOD     Method of the request, such as GET.
  --path=PATH         Path of the request, from its first slash on.
  --body-bytes=N      Size of the request's body [default: 0].
  --account=NAME      Client account that sends the request.
  --key-from-stdin    Read the key of the request from standard input.
  --json              Write JSON.
  -h --help           Show this text.

Exit codes: 0 done, 1 usage, 2 invalid input, 3 conflict, 4 unavailable,
5 outcome unknown, 6 late hosts, 7 not found, 8 unknown key or account.
)";
  return Text;
}

std::string clientVersion() { return COMFREYRILL_VERSION; }

Result<Arguments> parseArguments(const std::vector<std::string> &Argv) {
  ValueMap Values;
  try {
    Values = docopt::docopt_parse(usageText(), Argv, true, false);
  } catch (const docopt::DocoptExitHelp &) {
    return Arguments{};
  } catch (const std::exception &) {
    return usageError("the command line does not match any command");
  }
  Arguments Out;
  for (const CommandName &Entry : CommandNames)
    if (Values.at(Entry.Text).asBool())
      Out.Name = Entry.Name;
  Out.File = stringValue(Values, "FILE");
  Out.Host = stringValue(Values, "HOST");
  Out.Wait = Values.at("--wait").asBool();
  Out.Follow = Values.at("--follow").asBool();
  Out.Json = Values.at("--json").asBool();
  TRY(Out.Platforms, parseEndpoints(Values, "--platform"));
  if (Out.Name == Command::Explain) {
    TRY(Out.Explain, parseExplain(Values));
    return Out;
  }
  TRY(Out.Hosts, parseEndpoints(Values, "--host"));
  if (Values.at("--based-on")) {
    TRY(const std::uint64_t Number,
        parseNumber("--based-on", stringValue(Values, "--based-on")));
    Out.BasedOn = ManifestNumber{Number};
  }
  TRY(const std::uint64_t TimeoutMs,
      parseNumber("--timeout-ms", stringValue(Values, "--timeout-ms")));
  if (TimeoutMs < 1 || TimeoutMs > MaximumTimeoutMs)
    return usageError("--timeout-ms takes 1 to " +
                      std::to_string(MaximumTimeoutMs));
  Out.Timeout = std::chrono::milliseconds(TimeoutMs);
  return Out;
}

} // namespace comfreyrill
