#pragma once

#include <LibCore/Random.h>
#include <LibMembership/MemberTable.h>

namespace comfreyrill {

enum class DocumentKind { Manifest, FleetList };

/// A peer to fetch a document from.
struct DocumentSource {
  HostId Host;
  Endpoint Remote;
  /// Number that the peer announced; the document that it sends may be newer.
  std::uint64_t Number = 0;
};

/// Chooses the peer from which this host should fetch a document now, if any.
/// Must be called after each accepted heartbeat and several times a second.
/// Each returned source counts as an attempt. Once the document is in force and
/// this host has announced its number, no further source is returned.
std::optional<DocumentSource> chooseDocumentSource(MemberTable &Table,
                                                   DocumentKind Kind,
                                                   TimePoint Now,
                                                   Random &Generator);

} // namespace comfreyrill
