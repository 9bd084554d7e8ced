#pragma once

#include "Explanation.h"

#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace comfreyrill {

/// Decodes the body of a request to explain. Fails with InvalidInput or
/// TooLarge; the message names the faulty fields and none of their values,
/// which may be a key.
Result<ExplainedRequest> decodeExplainRequest(std::string_view Body);

/// Encodes an explanation as the JSON object that docs/interfaces.md describes.
std::string encodeExplanation(const Explanation &Explained);

} // namespace comfreyrill
