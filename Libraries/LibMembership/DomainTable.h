#pragma once

#include <LibMembership/Documents.h>
#include <LibMembership/MemberTable.h>

#include <map>
#include <optional>
#include <vector>

namespace comfreyrill {

/// A host as hosts of other failure domains know it.
struct RemoteHost {
  HostId Host;
  Endpoint PeerAddress;
  Endpoint CallerAddress;
  HostState State = HostState::Starting;
};

/// What a delegate of a failure domain tells those of the others.
struct DomainReport {
  FailureDomain Domain;
  /// Peer listener of the delegate.
  Endpoint Sender;
  /// Names the state of the domain's hosts.
  std::uint64_t Digest = 0;
  ManifestNumber Manifest;
  std::uint64_t TargetsRevision = 0;
  /// None when the receiver is taken to know them.
  std::optional<std::vector<RemoteHost>> Hosts;
  bool IsRelayed = false;
  bool WantsHosts = false;
};

/// What this host knows of one other failure domain.
struct RemoteDomain {
  std::vector<RemoteHost> Hosts;
  /// Digest of Hosts; 0 before the first complete report.
  std::uint64_t Digest = 0;
  /// The last report named another state of the hosts without listing them.
  bool LacksHosts = true;
  std::optional<TimePoint> HeardAt;
  /// The delegate that reported last.
  Endpoint Sender;
  ManifestNumber Manifest;
  std::uint64_t TargetsRevision = 0;
  /// Peer listeners learned from seeds, used until a report arrives.
  std::vector<Endpoint> Contacts;
};

/// Sending state towards one remote delegate.
struct DelegateLink {
  std::uint64_t DigestSent = 0;
  TimePoint CompleteSentAt;
  bool OwesHosts = true;
};

/// How far this host is in fetching a document from another failure domain.
struct RemoteFetch {
  /// Since when another domain has announced a higher number.
  std::optional<TimePoint> BehindSince;
  std::optional<TimePoint> LastAttempt;
  FailureDomain LastDomain;
};

/// All that one host knows of the other failure domains. Within a domain each
/// host hears each other one; between domains only delegates talk, so that the
/// traffic grows with the number of domains and not with that of hosts.
struct DomainTable {
  std::map<FailureDomain, RemoteDomain> Domains;
  std::map<std::string, DelegateLink> Links;
  TimePoint NextReport;
  /// Number of the manifest in the last report.
  ManifestNumber ReportedManifest;
  RemoteFetch ManifestFetch;
  RemoteFetch TargetsFetch;
};

/// A report to send now.
struct OutgoingReport {
  Endpoint Remote;
  DomainReport Content;
};

/// True when this host speaks for its failure domain: it is one of the two of
/// the highest rank among those that it hears.
bool isDelegate(const MemberTable &Members, TimePoint Now);

/// The reports that are due; none unless this host is a delegate.
std::vector<OutgoingReport>
dueReports(DomainTable &Table, const MemberTable &Members, TimePoint Now);

enum class ReportVerdict {
  /// Taken.
  Accepted,
  /// Taken, and its hosts differ from those that were known.
  Changed,
  /// Of this host's own domain.
  Ignored,
};

/// Takes a report of another failure domain.
ReportVerdict processDomainReport(DomainTable &Table,
                                  const MemberTable &Members,
                                  const DomainReport &Received, TimePoint Now);

/// The delegate of another domain from which this host should fetch a document
/// now, because that domain has announced a higher number than Own for some
/// time. Each one that is returned counts as an attempt; the next attempt goes
/// to another domain that is ahead, if there is one.
std::optional<Endpoint> chooseRemoteSource(DomainTable &Table,
                                           DocumentKind Kind, std::uint64_t Own,
                                           TimePoint Now);

/// Takes a host that a seed has named.
void addSeedContact(DomainTable &Table, const HostDescription &Named);

/// Ready hosts of the other domains that have been heard of lately.
std::vector<RemoteHost> remoteHosts(const DomainTable &Table, TimePoint Now);

/// Hosts of the other domains, whatever their state.
std::size_t remoteHostCount(const DomainTable &Table);

} // namespace comfreyrill
