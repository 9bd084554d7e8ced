#pragma once

#include <LibGateway/TargetDirectory.h>
#include <LibGateway/TargetReachability.h>
#include <LibLog/RateLimitedLog.h>

#include <cstdint>
#include <functional>

namespace comfreyrill {

/// Finds out whether this host reaches targets, from what its probes, requests
/// and connections experience, and logs each change.
class ReachabilityMonitor {
public:
  ReachabilityMonitor(const Clock &TimeSource, const TargetDirectory &Directory,
                      RateLimitedLog &Events);

  /// The connection to a target failed or was not made in time.
  void recordConnectionFailure(const TargetId &Target, TimePoint BeganAt);
  void recordConnection();
  /// A target has not answered a probe on an open connection.
  void recordSilence(const TargetId &Target, TimePoint SentAt);
  void recordAnswer();

  bool isCutOff() const { return IsCutOff; }
  bool cannotConnect() const { return CannotConnect; }
  /// Number of times that this host was cut off.
  std::uint64_t cutOffCount() const { return CutOffCount; }

  /// Called when this host is cut off.
  void onCutOff(std::function<void()> NewListener) {
    Listener = std::move(NewListener);
  }

private:
  void update();

  const Clock &TimeSource;
  const TargetDirectory &Directory;
  RateLimitedLog &Events;
  TargetReachability State;
  bool IsCutOff = false;
  bool CannotConnect = false;
  std::uint64_t CutOffCount = 0;
  std::function<void()> Listener;
};

} // namespace comfreyrill
