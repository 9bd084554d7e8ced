#pragma once

#include <LibCore/Result.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace comfreyrill {

/// Compresses a text to the zlib format.
std::string compress(std::string_view Text);

/// Decompresses the output of compress(). Fails with InvalidInput when the
/// bytes are damaged and with TooLarge when the text is longer than
/// MaximumBytes.
Result<std::string> decompress(std::string_view Bytes,
                               std::size_t MaximumBytes);

} // namespace comfreyrill
