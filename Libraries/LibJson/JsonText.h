#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace comfreyrill {

/// Formats a number as the shortest text that parses to the same number.
/// Boost.JSON itself would write 0.1 as 1E-1.
std::string numberText(double Value);

/// Formats JSON with line breaks and indentation for human readers. An object
/// or array without nested objects or arrays is written on one line if it fits.
/// The text ends with a line break.
std::string prettyJson(const boost::json::value &Value);

} // namespace comfreyrill
