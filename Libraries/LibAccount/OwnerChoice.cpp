#include <LibAccount/OwnerChoice.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// A digest for each pair of host and account would cost a small host with
// hundreds of peers too much processor time.
std::uint64_t rankOf(std::uint64_t HostHash, std::uint64_t AccountHash) {
  constexpr std::uint64_t Increment = 0x9E3779B97F4A7C15U;
  return mixBits((HostHash ^ AccountHash) + Increment);
}

bool isSkipped(const SkippedOwners &Skipped, const HostId &Host,
               TimePoint Now) {
  const auto Position = Skipped.find(Host);
  return Position != Skipped.end() && Now < Position->second;
}

} // namespace

std::uint64_t ownerHash(const HostId &Host) {
  return stableHash({"allotment-owner", Host.Value});
}

const OwnerCandidate *chooseOwner(const FleetView &View,
                                  const AccountName &Account,
                                  const SkippedOwners &Skipped, TimePoint Now) {
  const std::uint64_t AccountHash = stableHash({Account.Value});
  const OwnerCandidate *Chosen = nullptr;
  std::uint64_t Highest = 0;
  for (const OwnerCandidate &Candidate : View.Candidates) {
    const std::uint64_t Rank = rankOf(Candidate.Hash, AccountHash);
    if (Chosen && Rank <= Highest)
      continue;
    if (!Skipped.empty() && isSkipped(Skipped, Candidate.Host, Now))
      continue;
    Chosen = &Candidate;
    Highest = Rank;
  }
  return Chosen;
}

bool precedes(std::uint64_t Hash, std::uint64_t OtherHash,
              const AccountName &Account) {
  const std::uint64_t AccountHash = stableHash({Account.Value});
  return rankOf(Hash, AccountHash) > rankOf(OtherHash, AccountHash);
}

std::size_t ownerPosition(const FleetView &View, const AccountName &Account) {
  const std::uint64_t AccountHash = stableHash({Account.Value});
  const auto Self = std::find_if(
      View.Candidates.begin(), View.Candidates.end(),
      [&](const OwnerCandidate &Known) { return Known.Host == View.Self; });
  if (Self == View.Candidates.end())
    return View.Candidates.size();
  const std::uint64_t OwnRank = rankOf(Self->Hash, AccountHash);
  return static_cast<std::size_t>(
      std::count_if(View.Candidates.begin(), View.Candidates.end(),
                    [&](const OwnerCandidate &Other) {
                      return rankOf(Other.Hash, AccountHash) > OwnRank;
                    }));
}

double liveShare(const FleetView &View) {
  const auto Live =
      static_cast<double>(std::max<std::size_t>(View.LiveHosts, 1));
  return std::min(1.0, Live / static_cast<double>(
                                  std::max<std::size_t>(View.KnownHosts, 1)));
}

} // namespace comfreyrill
