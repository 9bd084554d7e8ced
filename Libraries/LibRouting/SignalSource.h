#pragma once

#include <string_view>

namespace comfreyrill {

/// Where this host has learned what a target says about itself.
enum class SignalSource { Answer, Probe, Host };

std::string_view signalSourceName(SignalSource Source);

} // namespace comfreyrill
