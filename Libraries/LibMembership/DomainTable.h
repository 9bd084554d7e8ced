#pragma once

#include <LibMembership/Documents.h>
#include <LibMembership/MemberTable.h>

#include <map>
#include <optional>
#include <vector>

namespace comfreyrill {

/// The part of a host's description that other failure domains receive.
struct RemoteHost {
  HostId Host;
  Endpoint PeerAddress;
  Endpoint CallerAddress;
  HostState State = HostState::Starting;
};

/// Report that a delegate of one failure domain sends to the delegates of the
/// others.
struct DomainReport {
  FailureDomain Domain;
  /// Peer listener of the delegate.
  Endpoint Sender;
  /// Digest of the domain's hosts and their states.
  std::uint64_t Digest = 0;
  ManifestNumber Manifest;
  std::uint64_t TargetsRevision = 0;
  /// The domain's hosts. Absent when the receiver is assumed to have them
  /// already.
  std::optional<std::vector<RemoteHost>> Hosts;
  bool IsRelayed = false;
  bool WantsHosts = false;
};

/// State that this host keeps about another failure domain.
struct RemoteDomain {
  std::vector<RemoteHost> Hosts;
  /// Digest of Hosts; 0 before the first complete report.
  std::uint64_t Digest = 0;
  /// True when the last report had a different digest but no list of hosts.
  bool IsHostListOutdated = true;
  std::optional<TimePoint> HeardAt;
  /// The delegate that sent the last report.
  Endpoint Sender;
  ManifestNumber Manifest;
  std::uint64_t TargetsRevision = 0;
  /// Peer listeners learned from seeds, used until a report arrives.
  std::vector<Endpoint> SeedContacts;
};

/// State of the reports sent to one remote delegate.
struct DelegateLink {
  std::uint64_t DigestSent = 0;
  TimePoint CompleteSentAt;
  /// True until the delegate gets the list of hosts: initially, and when the
  /// delegate has asked for the list.
  bool AreHostsRequested = true;
};

/// Progress of fetching a document from another failure domain.
struct RemoteFetch {
  /// Time since which another domain has announced a higher number.
  std::optional<TimePoint> LaggingSince;
  std::optional<TimePoint> LastAttempt;
  FailureDomain LastDomain;
};

/// The state that one host keeps about the other failure domains. Within a
/// domain all hosts exchange heartbeats. Between domains only delegates
/// exchange reports, so that this traffic grows with the number of domains
/// rather than hosts.
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

/// True when this host is a delegate of its failure domain: one of the two
/// hosts of the highest rank among those that are alive in its view.
bool isDelegate(const MemberTable &Members, TimePoint Now);

/// Returns the reports that are due; none unless this host is a delegate.
std::vector<OutgoingReport>
dueReports(DomainTable &Table, const MemberTable &Members, TimePoint Now);

enum class ReportVerdict {
  /// Merged; the list of hosts is unchanged.
  Accepted,
  /// Merged, and the list of hosts has changed.
  Changed,
  /// The report is from this host's own domain.
  Ignored,
};

/// Merges a report of another failure domain.
ReportVerdict processDomainReport(DomainTable &Table,
                                  const MemberTable &Members,
                                  const DomainReport &Received, TimePoint Now);

/// Chooses the delegate of another domain from which this host should fetch a
/// document now, because that domain has announced a higher number than
/// OwnNumber for some time. Each returned endpoint counts as an attempt. The
/// next attempt goes to a different domain with a higher number, if there is
/// one.
std::optional<Endpoint> chooseRemoteSource(DomainTable &Table,
                                           DocumentKind Kind,
                                           std::uint64_t OwnNumber,
                                           TimePoint Now);

/// Adds a host that a seed has introduced as a contact of its domain.
void addSeedContact(DomainTable &Table, const HostDescription &Contact);

/// Returns the peer listeners of the delegates of one other domain.
std::vector<Endpoint> delegatesOf(const RemoteDomain &Domain);

/// Returns the peer listeners of the delegates of all other domains.
std::vector<Endpoint> remoteDelegates(const DomainTable &Table);

/// Ready hosts of those other domains that have sent a report recently.
std::vector<RemoteHost> remoteHosts(const DomainTable &Table, TimePoint Now);

/// Number of hosts in those other domains that have sent a report recently.
std::size_t reachableHostCount(const DomainTable &Table, TimePoint Now);

/// Number of hosts in the other domains, regardless of their state.
std::size_t remoteHostCount(const DomainTable &Table);

} // namespace comfreyrill
