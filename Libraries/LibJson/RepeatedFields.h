#pragma once

#include <boost/json/parse_options.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// Returns the paths of fields that occur more than once in the same object of
/// a valid JSON text, with one entry for each repetition.
std::vector<std::string>
repeatedFields(std::string_view Text,
               const boost::json::parse_options &Options);

} // namespace comfreyrill
