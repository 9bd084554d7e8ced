#include <LibMembership/DomainTable.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Two, so that the loss of one delegate is not felt in the other domains.
constexpr std::size_t DelegateCount = 2;
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
// Repairs a complete report that was lost, besides what receivers ask for.
constexpr Duration CompleteInterval = std::chrono::seconds(10);
// Six reports missed from both delegates: the domain cannot be reached.
constexpr Duration DomainLostAfter = std::chrono::seconds(3);

// Each domain learns of changes from the store by itself, within some tens of
// milliseconds. Another one is asked only when it stays behind for longer,
// because bytes between domains are priced. The list of targets is the larger
// document and changes more often.
constexpr Duration ManifestLagTolerance = std::chrono::milliseconds(200);
constexpr Duration TargetsLagTolerance = std::chrono::milliseconds(500);
// An answer takes some milliseconds. On a link that loses packets it may take
// longer than a change may take to be in force, so another source is asked.
constexpr Duration RemoteFetchRetry = std::chrono::milliseconds(300);

bool isHeard(const MemberTable &Members, const Peer &Other, TimePoint Now) {
  return liveness(Members, Other, Now) == Liveness::Alive;
}

RemoteHost brief(const HostDescription &Description) {
  return {Description.Host, Description.PeerAddress, Description.CallerAddress,
          Description.State};
}

std::vector<RemoteHost> ownHosts(const MemberTable &Members, TimePoint Now) {
  std::vector<RemoteHost> Hosts{brief(Members.Self)};
  for (const Peer &Other : Members.Peers)
    if (isHeard(Members, Other, Now) && Other.Description.isComplete())
      Hosts.push_back(brief(Other.Description));
  std::sort(Hosts.begin(), Hosts.end(),
            [](const RemoteHost &One, const RemoteHost &Other) {
              return One.Host < Other.Host;
            });
  return Hosts;
}

std::uint64_t digestOf(const std::vector<RemoteHost> &Hosts) {
  std::string Text;
  for (const RemoteHost &Host : Hosts) {
    Text += Host.Host.Value;
    Text += ' ';
    Text += formatEndpoint(Host.CallerAddress);
    Text += static_cast<char>('0' + static_cast<int>(Host.State));
  }
  return stableHash({Text});
}

std::vector<Endpoint> delegatesOf(const RemoteDomain &Domain) {
  if (Domain.Hosts.empty())
    return Domain.Contacts;
  std::vector<const RemoteHost *> Hosts;
  for (const RemoteHost &Host : Domain.Hosts)
    if (Host.State != HostState::Leaving)
      Hosts.push_back(&Host);
  std::sort(Hosts.begin(), Hosts.end(),
            [](const RemoteHost *One, const RemoteHost *Other) {
              return platformRank(One->Host) > platformRank(Other->Host);
            });
  std::vector<Endpoint> Delegates;
  for (const RemoteHost *Host : Hosts)
    if (Delegates.size() < DelegateCount)
      Delegates.push_back(Host->PeerAddress);
  return Delegates;
}

} // namespace

bool isDelegate(const MemberTable &Members, TimePoint Now) {
  std::size_t Higher = 0;
  for (const Peer &Other : Members.Peers)
    if (isHeard(Members, Other, Now) &&
        Other.Description.State != HostState::Leaving &&
        Other.Rank > Members.Rank)
      ++Higher;
  return Higher < DelegateCount && Members.Self.State != HostState::Leaving;
}

std::vector<OutgoingReport>
dueReports(DomainTable &Table, const MemberTable &Members, TimePoint Now) {
  std::vector<OutgoingReport> Due;
  const bool IsNews = Members.Self.Manifest > Table.ReportedManifest;
  if ((Now < Table.NextReport && !IsNews) || !isDelegate(Members, Now))
    return Due;
  Table.NextReport = Now + ReportInterval;
  Table.ReportedManifest = Members.Self.Manifest;
  const std::vector<RemoteHost> Hosts = ownHosts(Members, Now);
  DomainReport Report;
  Report.Domain = Members.Self.Domain;
  Report.Sender = Members.Self.PeerAddress;
  Report.Digest = digestOf(Hosts);
  Report.Manifest = Members.Self.Manifest;
  Report.TargetsRevision = Members.Self.FleetVersion;
  for (const auto &[Domain, Remote] : Table.Domains)
    for (const Endpoint &Delegate : delegatesOf(Remote)) {
      DelegateLink &Link = Table.Links[formatEndpoint(Delegate)];
      const bool IsComplete = Link.OwesHosts ||
                              Link.DigestSent != Report.Digest ||
                              Now - Link.CompleteSentAt > CompleteInterval;
      DomainReport Content = Report;
      Content.WantsHosts = Remote.LacksHosts;
      if (IsComplete) {
        Content.Hosts = Hosts;
        Link = {Report.Digest, Now, false};
      }
      Due.push_back({Delegate, std::move(Content)});
    }
  return Due;
}

ReportVerdict processDomainReport(DomainTable &Table,
                                  const MemberTable &Members,
                                  const DomainReport &Received, TimePoint Now) {
  if (Received.Domain == Members.Self.Domain)
    return ReportVerdict::Ignored;
  RemoteDomain &Domain = Table.Domains[Received.Domain];
  Domain.HeardAt = Now;
  Domain.Sender = Received.Sender;
  Domain.Manifest.Value =
      std::max(Domain.Manifest.Value, Received.Manifest.Value);
  Domain.TargetsRevision =
      std::max(Domain.TargetsRevision, Received.TargetsRevision);
  const bool IsUnknown = Domain.Digest != Received.Digest;
  if (!Received.IsRelayed && Received.WantsHosts)
    Table.Links[formatEndpoint(Received.Sender)].OwesHosts = true;
  Domain.LacksHosts = IsUnknown && !Received.Hosts;
  if (!Received.Hosts || !IsUnknown)
    return ReportVerdict::Accepted;
  Domain.Hosts = *Received.Hosts;
  Domain.Digest = Received.Digest;
  return ReportVerdict::Changed;
}

std::optional<Endpoint> chooseRemoteSource(DomainTable &Table,
                                           DocumentKind Kind, std::uint64_t Own,
                                           TimePoint Now) {
  const bool IsManifest = Kind == DocumentKind::Manifest;
  RemoteFetch &Progress = IsManifest ? Table.ManifestFetch : Table.TargetsFetch;
  const Duration Tolerance =
      IsManifest ? ManifestLagTolerance : TargetsLagTolerance;
  std::vector<const std::pair<const FailureDomain, RemoteDomain> *> Ahead;
  for (const auto &Entry : Table.Domains)
    if ((IsManifest ? Entry.second.Manifest.Value
                    : Entry.second.TargetsRevision) > Own &&
        Entry.second.HeardAt)
      Ahead.push_back(&Entry);
  if (Ahead.empty()) {
    Progress = {};
    return std::nullopt;
  }
  if (!Progress.BehindSince)
    Progress.BehindSince = Now;
  if (Now - *Progress.BehindSince < Tolerance ||
      (Progress.LastAttempt && Now - *Progress.LastAttempt < RemoteFetchRetry))
    return std::nullopt;
  const auto Next =
      std::find_if(Ahead.begin(), Ahead.end(), [&](const auto *Entry) {
        return Progress.LastDomain < Entry->first;
      });
  const auto &Chosen = Next == Ahead.end() ? *Ahead.front() : **Next;
  Progress.LastAttempt = Now;
  Progress.LastDomain = Chosen.first;
  return Chosen.second.Sender;
}

void addSeedContact(DomainTable &Table, const HostDescription &Named) {
  std::vector<Endpoint> &Contacts = Table.Domains[Named.Domain].Contacts;
  const bool IsKnown = std::find(Contacts.begin(), Contacts.end(),
                                 Named.PeerAddress) != Contacts.end();
  if (IsKnown)
    return;
  // The latest ones are kept: earlier ones may be gone.
  if (Contacts.size() >= DelegateCount)
    Contacts.erase(Contacts.begin());
  Contacts.push_back(Named.PeerAddress);
}

std::vector<RemoteHost> remoteHosts(const DomainTable &Table, TimePoint Now) {
  std::vector<RemoteHost> Hosts;
  for (const auto &[Name, Domain] : Table.Domains)
    if (Domain.HeardAt && Now - *Domain.HeardAt <= DomainLostAfter)
      for (const RemoteHost &Host : Domain.Hosts)
        if (Host.State == HostState::Ready)
          Hosts.push_back(Host);
  return Hosts;
}

std::size_t remoteHostCount(const DomainTable &Table) {
  std::size_t Count = 0;
  for (const auto &[Name, Domain] : Table.Domains)
    Count += Domain.Hosts.size();
  return Count;
}

} // namespace comfreyrill
