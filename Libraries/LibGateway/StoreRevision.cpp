#include <LibGateway/StoreRevision.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Enough for a thousand changes a second in one era for 30 years. The sum of
// both parts fits the signed 64-bit numbers of the messages between hosts.
constexpr unsigned NumberBits = 40;
constexpr unsigned EraBits = 23;
constexpr std::uint64_t NumberMaximum = (std::uint64_t{1} << NumberBits) - 1;
constexpr std::uint64_t EraMaximum = (std::uint64_t{1} << EraBits) - 1;

} // namespace

StoreRevision makeRevision(std::uint64_t Era, std::uint64_t NumberInEra) {
  return {std::min(Era, EraMaximum) << NumberBits |
          std::min(NumberInEra, NumberMaximum)};
}

std::uint64_t eraOf(StoreRevision Revision) {
  return Revision.Value >> NumberBits;
}

std::uint64_t numberInEra(StoreRevision Revision) {
  return Revision.Value & NumberMaximum;
}

std::string formatRevision(StoreRevision Revision) {
  return std::to_string(eraOf(Revision)) + ":" +
         std::to_string(numberInEra(Revision));
}

} // namespace comfreyrill
