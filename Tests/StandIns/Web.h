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
/// kept, because the stand-ins and their callers use none.
struct RequestTarget {
  std::string Path;
  std::map<std::string, std::string, std::less<>> Parameters;

  /// The parameter, or an empty text when it is absent.
  std::string parameter(std::string_view Name) const;
  /// The parameter as a number, or the fallback.
  std::uint64_t number(std::string_view Name, std::uint64_t Fallback) const;
};

RequestTarget splitTarget(std::string_view Target);

/// Reads a whole decimal number. Fails with InvalidInput.
Result<std::uint64_t> parseNumber(std::string_view Text);

/// An entity tag in the form of the object API: "N" in quotes.
std::string entityTag(std::uint64_t Version);
std::optional<std::uint64_t> parseEntityTag(std::string_view Text);

HttpResponse textResponse(http::status Status, std::string Body);
HttpResponse jsonResponse(http::status Status, const boost::json::value &Body);
/// For messages that LibHttp refuses before the handler.
HttpResponse refusalResponse(http::status Status, const Error &Cause);

/// Reads a JSON object. Fails with InvalidInput.
Result<boost::json::object> parseObject(std::string_view Text);

/// Sets Value when the object has the member. Fails with InvalidInput when the
/// member has another type.
Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, double &Value);
Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, std::uint32_t &Value);
Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, bool &Value);
Result<void> readMember(const boost::json::object &Object,
                        std::string_view Name, std::string &Value);
/// A duration in whole or broken milliseconds.
Result<void> readMilliseconds(const boost::json::object &Object,
                              std::string_view Name, Duration &Value);

/// Time since the machine started; all processes of a machine share it, so that
/// books of several processes can be compared.
double bootMilliseconds(TimePoint Time);

} // namespace comfreyrill::standins
