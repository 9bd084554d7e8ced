#include "HttpHelpers.h"

#include <charconv>

namespace comfreyrill::standins {

namespace {

Error memberError(std::string_view Name, std::string_view Allowed) {
  return Error{ErrorKind::InvalidInput, "member '" + std::string(Name) +
                                            "' must be " +
                                            std::string(Allowed)};
}

} // namespace

std::string RequestTarget::parameter(std::string_view Name) const {
  const auto Position = Parameters.find(Name);
  return Position == Parameters.end() ? std::string() : Position->second;
}

std::uint64_t RequestTarget::number(std::string_view Name,
                                    std::uint64_t Fallback) const {
  const auto Parsed = parseNumber(parameter(Name));
  return Parsed ? Parsed.value() : Fallback;
}

RequestTarget splitTarget(std::string_view Target) {
  RequestTarget Split;
  const std::size_t Question = Target.find('?');
  Split.Path = std::string(Target.substr(0, Question));
  if (Question == std::string_view::npos)
    return Split;
  std::string_view Rest = Target.substr(Question + 1);
  while (!Rest.empty()) {
    const std::size_t End = Rest.find('&');
    const std::string_view Pair = Rest.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    std::string Value;
    if (Equals != std::string_view::npos)
      Value = std::string(Pair.substr(Equals + 1));
    Split.Parameters[std::string(Pair.substr(0, Equals))] = std::move(Value);
    if (End == std::string_view::npos)
      break;
    Rest.remove_prefix(End + 1);
  }
  return Split;
}

Result<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Position, Code] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Code != std::errc() || Position != End)
    return Error{ErrorKind::InvalidInput,
                 "'" + std::string(Text) + "' is not a whole number"};
  return Value;
}

std::string entityTag(std::uint64_t Version) {
  return "\"" + std::to_string(Version) + "\"";
}

std::optional<std::uint64_t> parseEntityTag(std::string_view Text) {
  if (Text.size() < 3 || Text.front() != '"' || Text.back() != '"')
    return std::nullopt;
  const auto Parsed = parseNumber(Text.substr(1, Text.size() - 2));
  if (!Parsed)
    return std::nullopt;
  return Parsed.value();
}

HttpResponse textResponse(http::status Status, std::string Body) {
  HttpResponse Response(Status, 11);
  Response.set(http::field::content_type, "text/plain");
  Response.body() = std::move(Body);
  Response.prepare_payload();
  return Response;
}

HttpResponse jsonResponse(http::status Status, const boost::json::value &Body) {
  HttpResponse Response =
      textResponse(Status, boost::json::serialize(Body) + "\n");
  Response.set(http::field::content_type, "application/json");
  return Response;
}

HttpResponse errorResponse(http::status Status, const Error &Cause) {
  return jsonResponse(Status, {{"error", errorKindName(Cause.Kind)},
                               {"message", Cause.Message}});
}

Result<boost::json::object> parseObject(std::string_view Text) {
  boost::json::error_code Code;
  boost::json::value Value = boost::json::parse(
      boost::json::string_view(Text.data(), Text.size()), Code);
  if (Code || !Value.is_object())
    return Error{ErrorKind::InvalidInput,
                 "the body is not a valid JSON object"};
  return std::move(Value.as_object());
}

Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, double &Value) {
  const auto *Member = Object.if_contains(Name);
  if (Member == nullptr)
    return outcome::success();
  if (!Member->is_number())
    return memberError(Name, "a number");
  Value = Member->to_number<double>();
  return outcome::success();
}

Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, std::uint32_t &Value) {
  const auto *Member = Object.if_contains(Name);
  if (Member == nullptr)
    return outcome::success();
  boost::json::error_code Code;
  const auto Number = Member->to_number<std::uint32_t>(Code);
  if (Code)
    return memberError(Name, "a whole number from 0 to 4294967295");
  Value = Number;
  return outcome::success();
}

Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, bool &Value) {
  const auto *Member = Object.if_contains(Name);
  if (Member == nullptr)
    return outcome::success();
  if (!Member->is_bool())
    return memberError(Name, "true or false");
  Value = Member->as_bool();
  return outcome::success();
}

Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, std::string &Value) {
  const auto *Member = Object.if_contains(Name);
  if (Member == nullptr)
    return outcome::success();
  if (!Member->is_string())
    return memberError(Name, "a string");
  Value = std::string(Member->as_string());
  return outcome::success();
}

Result<void> readMilliseconds(const boost::json::object &Object,
                              std::string_view Name, Duration &Value) {
  double Milliseconds = static_cast<double>(Value.count()) / 1e6;
  TRY(readMember(Object, Name, Milliseconds));
  if (Milliseconds < 0)
    return memberError(Name, "a non-negative number of milliseconds");
  Value = Duration(static_cast<Duration::rep>(Milliseconds * 1e6));
  return outcome::success();
}

double bootMilliseconds(TimePoint Time) {
  return static_cast<double>(Time.time_since_epoch().count()) / 1e6;
}

} // namespace comfreyrill::standins
