#include <LibMembership/Documents.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace comfreyrill {

namespace {

std::uint64_t announcedNumber(const HostDescription &Description,
                              DocumentKind Kind) {
  return Kind == DocumentKind::Manifest ? Description.Manifest.Value
                                        : Description.FleetVersion;
}

// Position of this host among the alive hosts that do not have the document
// yet. The order is a hash of host and document number, so that a different
// host comes first for each document.
std::size_t positionInFetchOrder(const MemberTable &Table, DocumentKind Kind,
                                 std::uint64_t Wanted, TimePoint Now) {
  const std::string Salt = hexadecimal(Wanted);
  const auto OrderHash = [&](const HostDescription &Description) {
    return stableHash({"fetch", Description.Host.Value, Salt});
  };
  const std::uint64_t OwnHash = OrderHash(Table.Self);
  return static_cast<std::size_t>(std::count_if(
      Table.Peers.begin(), Table.Peers.end(), [&](const Peer &Other) {
        return liveness(Table, Other, Now) == Liveness::Alive &&
               announcedNumber(Other.Description, Kind) < Wanted &&
               OrderHash(Other.Description) < OwnHash;
      }));
}

} // namespace

// A holder is a peer that announces the highest number. Each holder first
// serves a few hosts, each of which becomes a holder in turn. A document
// therefore spreads as a tree: no host sends it to all others, and over time
// each host sends about as many copies as it receives.
std::optional<DocumentSource> chooseDocumentSource(MemberTable &Table,
                                                   DocumentKind Kind,
                                                   TimePoint Now,
                                                   Random &Generator) {
  auto &Progress =
      Kind == DocumentKind::Manifest ? Table.ManifestFetch : Table.FleetFetch;
  const auto &Settings = Table.Settings;
  std::uint64_t Highest = announcedNumber(Table.Self, Kind);
  std::vector<const Peer *> Holders;
  for (const auto &Other : Table.Peers) {
    const Liveness State = liveness(Table, Other, Now);
    const std::uint64_t Number = announcedNumber(Other.Description, Kind);
    if (State == Liveness::Lost || State == Liveness::Unconfirmed ||
        Number < Highest || Number == announcedNumber(Table.Self, Kind))
      continue;
    if (Number > Highest)
      Holders.clear();
    Highest = Number;
    Holders.push_back(&Other);
  }
  if (Holders.empty())
    return std::nullopt;
  if (Progress.Wanted != Highest) {
    // The wait restarts only after a successful fetch. Otherwise a quick series
    // of changes could keep a host from fetching any of them.
    if (Progress.Wanted <= announcedNumber(Table.Self, Kind))
      Progress.WantedSince = Now;
    Progress.Wanted = Highest;
    Progress.LastAttempt.reset();
    Progress.LastSource = {};
  }
  if (Progress.LastAttempt &&
      Now - *Progress.LastAttempt < Settings.FetchRetryInterval)
    return std::nullopt;

  const Peer *Chosen = nullptr;
  const bool IsSpread = !Progress.LastAttempt &&
                        Now - Progress.WantedSince < Settings.FetchSpreadTime;
  if (IsSpread) {
    const std::size_t Position =
        positionInFetchOrder(Table, Kind, Highest, Now);
    if (Position >= Holders.size() * Settings.FetchesPerHolder)
      return std::nullopt;
    Chosen = Holders[Position % Holders.size()];
  } else {
    if (Holders.size() > 1)
      std::erase_if(Holders, [&](const Peer *Holder) {
        return Holder->Description.Host == Progress.LastSource;
      });
    Chosen = Holders[randomIndex(Generator, Holders.size())];
  }
  Progress.LastAttempt = Now;
  Progress.LastSource = Chosen->Description.Host;
  return DocumentSource{Chosen->Description.Host,
                        Chosen->Description.PeerAddress, Highest};
}

} // namespace comfreyrill
