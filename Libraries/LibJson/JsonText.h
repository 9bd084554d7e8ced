#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace comfreyrill {

/// The shortest decimal text that reads back as the same number. Boost.JSON
/// itself would write 0.1 as 1E-1.
std::string numberText(double Value);

/// JSON on several lines for people; objects and arrays that hold no other
/// ones and fit on a line stay on one line. Ends with a line break.
std::string prettyJson(const boost::json::value &Value);

} // namespace comfreyrill
