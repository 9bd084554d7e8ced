#include <LibCore/Hash.h>
#include <LibPlaces/DomainHosts.h>

#include <string_view>

namespace comfreyrill {

namespace {

// All hosts must agree on the hash, and a hundred of them are ranked for each
// target, so it must be cheap. Nothing depends on its strength.
std::uint64_t textHash(std::string_view Text) {
  std::uint64_t Hash = 0xCBF29CE484222325U;
  for (const char Character : Text) {
    Hash ^= static_cast<unsigned char>(Character);
    Hash *= 0x100000001B3U;
  }
  return mixBits(Hash);
}

std::uint64_t orderOf(const HostId &Host, const TargetId &Target) {
  return mixBits(textHash(Host.Value) +
                 0x9E3779B97F4A7C15U * (textHash(Target.Value) | 1U));
}

} // namespace

HostRank rankHost(const DomainHosts &Hosts, const TargetId &Target) {
  const std::uint64_t Own = orderOf(Hosts.Self, Target);
  HostRank Rank;
  for (const DomainHost &Other : Hosts.Others) {
    const std::uint64_t Order = orderOf(Other.Host, Target);
    if (Order < Own || (Order == Own && Hosts.Self < Other.Host))
      continue;
    ++Rank.KnownBefore;
    Rank.LiveBefore += Other.IsLive ? 1 : 0;
  }
  return Rank;
}

} // namespace comfreyrill
