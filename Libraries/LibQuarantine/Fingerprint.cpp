#include <LibQuarantine/Fingerprint.h>

#include <LibCore/Hash.h>

namespace comfreyrill {

std::uint64_t requestFingerprint(const ServiceName &Service,
                                 std::string_view Method, std::string_view Path,
                                 std::string_view Body) {
  return stableHash({Service.Value, Method, Path, Body});
}

} // namespace comfreyrill
