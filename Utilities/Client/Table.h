#pragma once

#include <string>
#include <vector>

namespace comfreyrill {

/// Rows of cells as text with aligned columns; the first row is the header.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);

} // namespace comfreyrill
