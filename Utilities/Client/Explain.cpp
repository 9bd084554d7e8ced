#include <Client/Explain.h>

#include <Client/ErrorReport.h>
#include <Client/ExplainResponse.h>
#include <Client/ExplainText.h>
#include <LibHttp/HttpClient.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace comfreyrill {

namespace json = boost::json;

namespace {

constexpr Duration ResponseTime = std::chrono::seconds(2);

Result<std::string> encodeRequest(ClientContext &Context) {
  const ExplainOptions &Options = Context.Options.Explain;
  json::object Made{{"method", Options.Method},
                    {"host", Options.Host},
                    {"path", Options.Path},
                    {"body_bytes", Options.BodyBytes}};
  if (!Options.Account.empty())
    Made["account"] = Options.Account;
  if (!Options.ReadsKey)
    return json::serialize(Made);
  std::string Key = Context.ReadLine ? Context.ReadLine() : "";
  while (!Key.empty() && (Key.back() == '\r' || Key.back() == '\n'))
    Key.pop_back();
  if (Key.empty())
    return Error{ErrorKind::InvalidInput,
                 "standard input holds no key; pipe the key in, or leave out "
                 "--key-from-stdin"};
  Made["key"] = Key;
  return json::serialize(Made);
}

/// Version of the host that the response names.
std::string hostVersion(const HttpResponse &Response) {
  const std::string_view Server(Response[http::field::server].data(),
                                Response[http::field::server].size());
  const std::string_view Program = "comfreyrill/";
  return Server.starts_with(Program)
             ? std::string(Server.substr(Program.size()))
             : "unknown";
}

/// The message of an error response, or its text if it is something else.
std::string errorMessage(const std::string &Body) {
  boost::system::error_code Code;
  const json::value Parsed = json::parse(Body, Code);
  if (!Code && Parsed.is_object())
    for (const char *Name : {"error", "reason"})
      if (const json::value *Text = Parsed.get_object().if_contains(Name);
          Text && Text->is_string())
        return std::string(Text->get_string());
  return "no reason given";
}

Error unreadable(const std::string &Host, const HttpResponse &Response,
                 const std::string &Cause) {
  return {ErrorKind::Internal,
          Host + " sent a response that this client cannot read (" + Cause +
              "); client version " + clientVersion() + ", host version " +
              hostVersion(Response) +
              "; use the client of the host's version, and check that "
              "--gateway is its metrics address"};
}

Error refusedBy(const std::string &Host, const HttpResponse &Response) {
  const unsigned Status = Response.result_int();
  const ErrorKind Kind =
      Status >= 500 ? ErrorKind::Unavailable : ErrorKind::InvalidInput;
  return {Kind, Host + " answered status " + std::to_string(Status) + ": " +
                    errorMessage(Response.body())};
}

ExitCode reportOutcome(ClientContext &Context, const ExplainedOutcome &Result) {
  if (Result.Reason == "no_route")
    return reportError(Context,
                       {ErrorKind::NotFound,
                        "no route matches the host and path; check --host and "
                        "--path against the configuration"});
  if (Result.Reason != "unknown_key" && Result.Reason != "unknown_account")
    return ExitCode::Done;
  const bool IsKey = Result.Reason == "unknown_key";
  reportError(Context, {ErrorKind::NotFound,
                        IsKey ? "no account of the configuration holds the "
                                "key; check it, and the configuration version"
                              : "the configuration has no account of that "
                                "name; check --account"});
  return ExitCode::UnknownAccount;
}

} // namespace

Awaitable<ExitCode> explainRequest(ClientContext &Context) {
  const Endpoint &Gateway = Context.Options.Explain.Gateway;
  const std::string Host = "host " + formatEndpoint(Gateway);
  auto Body = encodeRequest(Context);
  if (!Body) {
    reportError(Context, Body.error());
    co_return ExitCode::Usage;
  }
  HttpRequest Request(http::verb::post, "/explain", 11);
  Request.keep_alive(false);
  Request.set(http::field::content_type, "application/json");
  Request.body() = std::move(Body.value());
  HttpLimits Limits;
  Limits.BodyBytes = std::uint64_t{8} * 1024 * 1024;
  const auto Response = co_await fetch(Gateway, std::move(Request), Limits,
                                       Context.TimeSource.now() + ResponseTime);
  if (!Response)
    co_return reportError(
        Context, {ErrorKind::Unavailable,
                  Host + " is unreachable (" + Response.error().Message +
                      "); check that --gateway is its metrics address, the "
                      "setting metrics_address"});
  if (Response.value().result() != http::status::ok)
    co_return reportError(Context, refusedBy(Host, Response.value()));
  const auto Explained = parseExplainResponse(Response.value().body());
  if (!Explained)
    co_return reportError(
        Context, unreadable(Host, Response.value(), Explained.error().Message));
  Context.Print(Context.Options.Json ? Response.value().body()
                                     : formatExplanation(Explained.value()));
  co_return reportOutcome(Context, Explained.value().Outcome);
}

} // namespace comfreyrill
