#pragma once

#include <LibCore/Result.h>

#include <optional>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// One member of an object in JSON text.
struct JsonMember {
  /// The name as written, without its quotation marks.
  std::string_view Name;
  std::string_view Value;
};

/// Splits an object in JSON text into its members without parsing their values,
/// so that each value can be parsed alone and one that cannot be read leaves
/// the others usable. Fails with InvalidInput if the text is not an object.
Result<std::vector<JsonMember>> splitObject(std::string_view Text);

/// Splits an array in JSON text into its elements in the same way.
Result<std::vector<std::string_view>> splitArray(std::string_view Text);

/// Returns the value of a member; of the last one if there are several.
std::optional<std::string_view>
findMember(const std::vector<JsonMember> &Members, std::string_view Name);

} // namespace comfreyrill
