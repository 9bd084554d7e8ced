#include <LibMembership/DomainTable.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Two delegates, so that the loss of one does not interrupt the reports.
constexpr std::size_t DelegateCount = 2;
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
// A complete report is also sent at this interval, to make up for a lost one.
// In addition, receivers can request it.
constexpr Duration CompleteInterval = std::chrono::seconds(10);
// Six missed reports of both delegates: the domain is considered unreachable.
constexpr Duration DomainLostAfter = std::chrono::seconds(3);

// Each domain learns of changes from the store by itself, within some tens of
// milliseconds. Only a domain that lags for longer fetches from another domain,
// because traffic between domains costs money. The list of targets tolerates a
// longer lag: it is the larger document and changes more often.
constexpr Duration ManifestLagTolerance = std::chrono::milliseconds(200);
constexpr Duration TargetsLagTolerance = std::chrono::milliseconds(500);
// A response takes some milliseconds. On a link that loses packets it may take
// longer than the time within which a change must be in force, so the fetch is
// repeated from another domain.
constexpr Duration RemoteFetchRetryInterval = std::chrono::milliseconds(300);

bool isAlive(const MemberTable &Members, const Peer &Other, TimePoint Now) {
  return liveness(Members, Other, Now) == Liveness::Alive;
}

RemoteHost summarize(const HostDescription &Description) {
  return {Description.Host, Description.PeerAddress, Description.CallerAddress,
          Description.State};
}

std::vector<RemoteHost> ownHosts(const MemberTable &Members, TimePoint Now) {
  std::vector<RemoteHost> Hosts{summarize(Members.Self)};
  for (const Peer &Other : Members.Peers)
    if (isAlive(Members, Other, Now) && Other.Description.isComplete())
      Hosts.push_back(summarize(Other.Description));
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

bool isReachable(const RemoteDomain &Domain, TimePoint Now) {
  return Domain.HeardAt && Now - *Domain.HeardAt <= DomainLostAfter;
}

} // namespace

std::vector<Endpoint> delegatesOf(const RemoteDomain &Domain) {
  if (Domain.Hosts.empty())
    return Domain.SeedContacts;
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

bool isDelegate(const MemberTable &Members, TimePoint Now) {
  std::size_t Higher = 0;
  for (const Peer &Other : Members.Peers)
    if (isAlive(Members, Other, Now) &&
        Other.Description.State != HostState::Leaving &&
        Other.Rank > Members.Rank)
      ++Higher;
  return Higher < DelegateCount && Members.Self.State != HostState::Leaving;
}

std::vector<OutgoingReport>
dueReports(DomainTable &Table, const MemberTable &Members, TimePoint Now) {
  std::vector<OutgoingReport> Due;
  const bool HasNewManifest = Members.Self.Manifest > Table.ReportedManifest;
  if ((Now < Table.NextReport && !HasNewManifest) || !isDelegate(Members, Now))
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
      const bool IsComplete = Link.AreHostsRequested ||
                              Link.DigestSent != Report.Digest ||
                              Now - Link.CompleteSentAt > CompleteInterval;
      DomainReport Content = Report;
      Content.WantsHosts = Remote.IsHostListOutdated;
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
    Table.Links[formatEndpoint(Received.Sender)].AreHostsRequested = true;
  Domain.IsHostListOutdated = IsUnknown && !Received.Hosts;
  if (!Received.Hosts || !IsUnknown)
    return ReportVerdict::Accepted;
  Domain.Hosts = *Received.Hosts;
  Domain.Digest = Received.Digest;
  return ReportVerdict::Changed;
}

std::optional<Endpoint> chooseRemoteSource(DomainTable &Table,
                                           DocumentKind Kind,
                                           std::uint64_t OwnNumber,
                                           TimePoint Now) {
  const bool IsManifest = Kind == DocumentKind::Manifest;
  RemoteFetch &Progress = IsManifest ? Table.ManifestFetch : Table.TargetsFetch;
  const Duration Tolerance =
      IsManifest ? ManifestLagTolerance : TargetsLagTolerance;
  std::vector<const std::pair<const FailureDomain, RemoteDomain> *>
      NewerDomains;
  for (const auto &Entry : Table.Domains)
    if ((IsManifest ? Entry.second.Manifest.Value
                    : Entry.second.TargetsRevision) > OwnNumber &&
        Entry.second.HeardAt)
      NewerDomains.push_back(&Entry);
  if (NewerDomains.empty()) {
    Progress = {};
    return std::nullopt;
  }
  if (!Progress.LaggingSince)
    Progress.LaggingSince = Now;
  if (Now - *Progress.LaggingSince < Tolerance ||
      (Progress.LastAttempt &&
       Now - *Progress.LastAttempt < RemoteFetchRetryInterval))
    return std::nullopt;
  const auto Next = std::find_if(
      NewerDomains.begin(), NewerDomains.end(),
      [&](const auto *Entry) { return Progress.LastDomain < Entry->first; });
  const auto &Chosen =
      Next == NewerDomains.end() ? *NewerDomains.front() : **Next;
  Progress.LastAttempt = Now;
  Progress.LastDomain = Chosen.first;
  return Chosen.second.Sender;
}

void addSeedContact(DomainTable &Table, const HostDescription &Contact) {
  std::vector<Endpoint> &SeedContacts =
      Table.Domains[Contact.Domain].SeedContacts;
  const bool IsKnown = std::find(SeedContacts.begin(), SeedContacts.end(),
                                 Contact.PeerAddress) != SeedContacts.end();
  if (IsKnown)
    return;
  // The latest contacts are kept, because earlier ones may be gone.
  if (SeedContacts.size() >= DelegateCount)
    SeedContacts.erase(SeedContacts.begin());
  SeedContacts.push_back(Contact.PeerAddress);
}

std::vector<Endpoint> remoteDelegates(const DomainTable &Table) {
  std::vector<Endpoint> Delegates;
  for (const auto &[Name, Remote] : Table.Domains)
    for (Endpoint &Delegate : delegatesOf(Remote))
      Delegates.push_back(std::move(Delegate));
  return Delegates;
}

std::vector<RemoteHost> remoteHosts(const DomainTable &Table, TimePoint Now) {
  std::vector<RemoteHost> Hosts;
  for (const auto &[Name, Domain] : Table.Domains)
    if (isReachable(Domain, Now))
      for (const RemoteHost &Host : Domain.Hosts)
        if (Host.State == HostState::Ready)
          Hosts.push_back(Host);
  return Hosts;
}

std::size_t reachableHostCount(const DomainTable &Table, TimePoint Now) {
  std::size_t Count = 0;
  for (const auto &[Name, Domain] : Table.Domains)
    if (isReachable(Domain, Now))
      Count += Domain.Hosts.size();
  return Count;
}

std::size_t remoteHostCount(const DomainTable &Table) {
  std::size_t Count = 0;
  for (const auto &[Name, Domain] : Table.Domains)
    Count += Domain.Hosts.size();
  return Count;
}

} // namespace comfreyrill
