#pragma once

#include <GatewayDependencies.h>
#include <LibPeer/PeerMesh.h>

#include <memory>
#include <string>

namespace comfreyrill {

/// One host of a small fleet: its state and its links to other hosts, for
/// tests of the services that exchange messages.
struct MeshHost {
  MeshHost(asio::io_context &Loop, const Clock &TimeSource,
           const std::string &Domain)
      : Events(Output, TimeSource),
        Pool(Loop.get_executor(), TimeSource, std::chrono::seconds(5)),
        CurrentState(TimeSource, Generator, Events),
        Dependencies{Loop.get_executor(),
                     TimeSource,
                     Generator,
                     Pool,
                     CurrentState,
                     Events,
                     ProcessMetrics,
                     FailureDomain(Domain),
                     {0.2, 10, std::chrono::seconds(10)},
                     Bucket,
                     60,
                     std::nullopt,
                     Messages,
                     [] { return std::size_t{2}; }},
        Mesh(std::make_shared<PeerMesh>(Loop.get_executor(), TimeSource,
                                        PeerMeshLimits{}, Random(1))) {}

  MessageMemory Messages{MessageMemoryLimits{}};
  Log Output{LogLevel::Error, ""};
  RateLimitedLog Events;
  Random Generator{20261204};
  ConnectionPool Pool;
  GatewayState CurrentState;
  GatewayMetrics ProcessMetrics;
  ProbeTokenBucket Bucket;
  GatewayDependencies Dependencies;
  std::shared_ptr<PeerMesh> Mesh;
};

} // namespace comfreyrill
