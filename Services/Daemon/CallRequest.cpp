#include "CallRequest.h"

#include "HeaderNames.h"

#include <algorithm>
#include <charconv>

namespace comfreyrill {

namespace {

constexpr std::string_view CallPrefix = "/v1/call/";
constexpr std::uint64_t MaximumTimeoutMilliseconds = 3'600'000;

bool isServiceCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         Character == '-' || Character == '_' || Character == '.';
}

} // namespace

Result<std::uint64_t> parseNumber(std::string_view Name, std::string_view Text,
                                  std::uint64_t Minimum,
                                  std::uint64_t Maximum) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Position, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Position != End || Value < Minimum ||
      Value > Maximum)
    return Error{ErrorKind::InvalidInput,
                 std::string(Name) + " is '" + std::string(Text) +
                     "'; send a whole number from " + std::to_string(Minimum) +
                     " to " + std::to_string(Maximum)};
  return Value;
}

Result<CallRequest> parseCallRequest(const HttpRequest &Request) {
  const std::string_view Target(Request.target().data(),
                                Request.target().size());
  if (!Target.starts_with(CallPrefix))
    return Error{ErrorKind::InvalidInput,
                 "the path is not a call; send it to /v1/call/SERVICE/PATH"};
  const std::string_view Rest = Target.substr(CallPrefix.size());
  const std::size_t NameEnd = std::min(Rest.find_first_of("/?"), Rest.size());
  const std::string_view Name = Rest.substr(0, NameEnd);
  if (Name.empty() ||
      !std::all_of(Name.begin(), Name.end(), isServiceCharacter))
    return Error{ErrorKind::InvalidInput,
                 "the path names no service; send the call to "
                 "/v1/call/SERVICE/PATH"};

  CallRequest Call;
  Call.Service = ServiceName(std::string(Name));
  Call.Path = std::string(Rest.substr(NameEnd));
  if (!Call.Path.starts_with('/'))
    Call.Path.insert(0, "/");

  if (const auto Field = Request.find(header::TimeoutMilliseconds);
      Field != Request.end()) {
    TRY(const auto Milliseconds,
        parseNumber(header::TimeoutMilliseconds, Field->value(), 1,
                    MaximumTimeoutMilliseconds));
    Call.Timeout = std::chrono::milliseconds(Milliseconds);
  }
  if (const auto Field = Request.find(header::Depth); Field != Request.end()) {
    TRY(const auto Depth,
        parseNumber(header::Depth, Field->value(), 1, MaximumCallDepth));
    Call.Depth = static_cast<std::uint32_t>(Depth);
  }
  if (const auto Field = Request.find(header::IdempotencyKey);
      Field != Request.end()) {
    if (Field->value().size() > MaximumKeyBytes)
      return Error{ErrorKind::InvalidInput,
                   "the idempotency key is longer than " +
                       std::to_string(MaximumKeyBytes) +
                       " bytes; send a key issued by POST /v1/keys"};
    Call.Key = std::string(Field->value());
  }
  Call.IsRelayed = Request.find(header::Relayed) != Request.end();
  return Call;
}

bool isIdempotent(const ServiceConfig &Service, std::string_view Method,
                  std::string_view Path) {
  for (const OperationConfig &Operation : Service.Operations)
    if (Operation.Method == Method && Path.starts_with(Operation.PathPrefix))
      return Operation.Idempotent;
  return Method == "GET" || Method == "HEAD";
}

std::optional<std::string_view> queryParameter(std::string_view Path,
                                               std::string_view Name) {
  const std::size_t Question = Path.find('?');
  if (Question == std::string_view::npos)
    return std::nullopt;
  std::string_view Query = Path.substr(Question + 1);
  while (!Query.empty()) {
    const std::size_t End = std::min(Query.find('&'), Query.size());
    const std::string_view Pair = Query.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return Pair.substr(Equals + 1);
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return std::nullopt;
}

} // namespace comfreyrill
