#pragma once

#include <string_view>
#include <vector>

namespace comfreyrill {

/// Returns the known name that is closest to a misspelt one, for suggestions in
/// error messages. At most two letters, and fewer than half of the known name,
/// may be wrong, missing, superfluous or swapped with a neighbour. Returns an
/// empty string if no name is that close.
std::string_view nearestName(std::string_view Misspelt,
                             const std::vector<std::string_view> &Known);

} // namespace comfreyrill
