#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Http.h>
#include <LibHttp/HttpServer.h>

#include <boost/json.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyrill::standins {

/// A request target, split into path and query parameters. Percent escapes are
/// not decoded, because the test servers and their clients use none.
struct RequestTarget {
  std::string Path;
  std::map<std::string, std::string, std::less<>> Parameters;

  /// Returns the parameter, or an empty string when it is absent.
  std::string parameter(std::string_view Name) const;
  /// Returns the parameter as a number, or the fallback when it is absent or
  /// invalid.
  std::uint64_t number(std::string_view Name, std::uint64_t Fallback) const;
};

RequestTarget splitTarget(std::string_view Target);

/// Reads a whole decimal number. Fails with InvalidInput.
Result<std::uint64_t> parseNumber(std::string_view Text);

/// Returns the entity tag of a version, which is the number in quotes.
std::string entityTag(std::uint64_t Version);
std::optional<std::uint64_t> parseEntityTag(std::string_view Text);

HttpResponse textResponse(http::status Status, std::string Body);
HttpResponse jsonResponse(http::status Status, const boost::json::value &Body);
/// Builds a JSON error response; LibHttp also uses it for messages that it
/// rejects before they reach the handler.
HttpResponse errorResponse(http::status Status, const Error &Cause);

/// Parses a JSON object. Fails with InvalidInput.
Result<boost::json::object> parseObject(std::string_view Text);

/// Sets Value if the object has the member. Fails with InvalidInput if the
/// member has another type.
Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, double &Value);
Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, std::uint32_t &Value);
Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, bool &Value);
Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, std::string &Value);
/// Reads a duration in milliseconds, which may have a fractional part.
Result<void> readMilliseconds(const boost::json::object &Object,
                              std::string_view Name, Duration &Value);

/// Converts a time to milliseconds since the machine started. All processes of
/// a machine share this clock, so their logs can be compared.
double bootMilliseconds(TimePoint Time);

} // namespace comfreyrill::standins
