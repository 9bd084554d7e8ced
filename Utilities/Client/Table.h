#pragma once

#include <string>
#include <vector>

namespace comfreyrill {

/// Formats rows of cells as text with aligned columns. The first row holds the
/// column headings.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);

} // namespace comfreyrill
