#pragma once

#include <string_view>

namespace comfreyrill {

inline constexpr std::string_view ProgramVersion = COMFREYRILL_VERSION;

} // namespace comfreyrill
