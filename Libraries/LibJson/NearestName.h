#pragma once

#include <string_view>
#include <vector>

namespace comfreyrill {

/// The known name that a misspelt one most likely stands for: at most two
/// letters are wrong, missing, superfluous or swapped, and fewer than half.
/// Empty when no name is that close.
std::string_view nearestName(std::string_view Misspelt,
                             const std::vector<std::string_view> &Known);

} // namespace comfreyrill
