#include <LibQuarantine/Fingerprint.h>

#include <LibCore/Hash.h>

namespace comfreyrill {

std::uint64_t requestFingerprint(const ServiceName &Service,
                                 std::string_view Method, std::string_view Path,
                                 std::string_view Body) {
  return stableHash({Service.Value, Method, Path, Body});
}

std::uint64_t callerRequestFingerprint(std::string_view CallerAddress,
                                       std::string_view Host,
                                       std::string_view Method,
                                       std::string_view Path,
                                       std::string_view Body) {
  return stableHash({CallerAddress, Host, Method, Path, Body});
}

} // namespace comfreyrill
