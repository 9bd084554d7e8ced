#pragma once

#include <boost/json/parse_options.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// Paths of the fields that a valid JSON text states more than once in the same
/// object, one entry for each repetition.
std::vector<std::string>
repeatedFields(std::string_view Text,
               const boost::json::parse_options &Options);

} // namespace comfreyrill
