#pragma once

#include <LibCore/Random.h>
#include <LibMembership/MemberTable.h>

namespace comfreyrill {

enum class DocumentKind { Manifest, FleetList };

/// The peer to fetch a document from.
struct DocumentSource {
  HostId Host;
  Endpoint Remote;
  /// Number that the peer announced; what it sends may be newer.
  std::uint64_t Number = 0;
};

/// The peer from which this host should fetch a document now, if any. Called
/// after each accepted heartbeat and several times a second; each source that
/// is returned counts as an attempt. Once the document is in force, the host
/// announces its number and no source is returned any more.
std::optional<DocumentSource> chooseDocumentSource(MemberTable &Table,
                                                   DocumentKind Kind,
                                                   TimePoint Now,
                                                   Random &Generator);

} // namespace comfreyrill
