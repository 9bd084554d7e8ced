#pragma once

#include <LibCore/Result.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace comfreyrill {

/// The text in the zlib format.
std::string compress(std::string_view Text);

/// Reads what compress() wrote. Fails with InvalidInput when the bytes are
/// damaged and with TooLarge when the text is longer than Maximum bytes.
Result<std::string> decompress(std::string_view Bytes, std::size_t Maximum);

} // namespace comfreyrill
