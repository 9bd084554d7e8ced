#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace comfreyrill::standins {

/// The answer of a target to a request with a token: at least Bytes long, and
/// each part of it depends on the token, so that a caller recognises an answer
/// to another request, a mixture of two and a truncated one.
std::string expectedAnswer(std::string_view Token, std::size_t Bytes);

} // namespace comfreyrill::standins
