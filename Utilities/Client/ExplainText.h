#pragma once

#include <Client/ExplainResponse.h>

namespace comfreyrill {

/// Formats an explanation as one line for each finding, in the order in which a
/// host decides, and a last sentence with the result and its cause.
std::string formatExplanation(const ExplainResponse &Explained);

} // namespace comfreyrill
