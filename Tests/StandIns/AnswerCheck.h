#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace comfreyrill::standins {

/// Returns the response body that a target generates for a token. The body has
/// at least Bytes bytes, and each part of it depends on the token, so that a
/// caller detects a body for another request, a mixture of two bodies and a
/// truncated body.
std::string expectedAnswer(std::string_view Token, std::size_t Bytes);

} // namespace comfreyrill::standins
