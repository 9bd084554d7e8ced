#pragma once

#include <LibCore/Result.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace comfreyrill {

/// An IP address in numeric form and a port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  bool operator==(const Endpoint &) const = default;
};

/// Parses "ip:port" or "[ipv6]:port". Fails with InvalidInput.
Result<Endpoint> parseEndpoint(std::string_view Text);

/// Formats an endpoint as text that parseEndpoint accepts.
std::string formatEndpoint(const Endpoint &Value);

} // namespace comfreyrill

template <> struct std::hash<comfreyrill::Endpoint> {
  std::size_t operator()(const comfreyrill::Endpoint &Value) const {
    return std::hash<std::string>{}(Value.Address) * 31 + Value.Port;
  }
};
