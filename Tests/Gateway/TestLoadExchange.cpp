#include "MeshHost.h"

#include <LoadExchange.h>

#include <LibPeer/PeerServer.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

TargetRegistration target() {
  TargetRegistration Made;
  Made.Id = TargetId("a");
  Made.Service = ServiceName("stock");
  Made.Address = {"10.0.0.1", 8080};
  Made.Domain = FailureDomain("west");
  Made.StartedAtMilliseconds = 1771918829000;
  return Made;
}

/// A host with its view of the targets and its part of the load exchange.
struct ExchangingHost : MeshHost {
  ExchangingHost(asio::io_context &Loop, const Clock &TimeSource,
                 const MemberTable &Members)
      : MeshHost(Loop, TimeSource, "west"),
        Exchange(std::make_shared<LoadExchange>(Dependencies, Members, *Mesh)) {
    CurrentState.applyTargetList({target()}, {1}, "store");
  }

  bool mayUseTarget() const { return CurrentState.mayUse(processOf(target())); }

  std::shared_ptr<LoadExchange> Exchange;
};

// Guards against a host that goes on using a target that another host of its
// failure domain knows to leave, when there is no load report to send with it,
// and against pauses that are applied by hosts that were not asked for them.
TEST(LoadExchange, OtherHostsAreToldOfLeavingTargetsButNotOfPauses) {
  asio::io_context Loop{1};
  SystemClock TimeSource;
  MemberTable Members;
  ExchangingHost Sender(Loop, TimeSource, Members);
  ExchangingHost Receiver(Loop, TimeSource, Members);
  int Notices = 0;
  const auto Server = std::make_shared<PeerServer>(
      Loop.get_executor(), TimeSource, PeerServerLimits{},
      [&](const wire::PeerBody &Body, const PeerReply &) {
        ASSERT_TRUE(Body.__isset.load_notice);
        ++Notices;
        Receiver.Exchange->onLoadNotice(Body.load_notice);
      });
  ASSERT_TRUE(Server->listen({"127.0.0.1", 0}));
  Peer Other;
  Other.Description.PeerAddress = Server->localEndpoint();
  Other.LastHeard = TimeSource.now();
  Members.Peers.push_back(Other);
  Sender.Exchange->start();

  TargetSignals Signals;
  Signals.Pause = 60s;
  Sender.CurrentState.recordSignals(processOf(target()), target().Address,
                                    Signals, SignalSource::Answer);
  Loop.run_for(150ms);
  EXPECT_EQ(Notices, 0);
  EXPECT_TRUE(Receiver.mayUseTarget());

  Signals = {};
  Signals.IsLeaving = true;
  Sender.CurrentState.recordSignals(processOf(target()), target().Address,
                                    Signals, SignalSource::Answer);
  const TimePoint Until = TimeSource.now() + 2s;
  while (Notices == 0 && TimeSource.now() < Until)
    Loop.run_one_for(10ms);
  EXPECT_EQ(Notices, 1);
  EXPECT_FALSE(Receiver.mayUseTarget());
  EXPECT_TRUE(Receiver.CurrentState.takeUnsharedLeaving().empty());

  // A cold target that one host has observed.
  Sender.CurrentState.recordCold(processOf(target()), 10s, SignalSource::Probe);
  const TimePoint ColdUntil = TimeSource.now() + 2s;
  while (Notices == 1 && TimeSource.now() < ColdUntil)
    Loop.run_one_for(10ms);
  EXPECT_EQ(Notices, 2);
  const TimePoint Known =
      Receiver.CurrentState.targets().Targets.at(target().Id).ColdUntil;
  EXPECT_GT(Known, TimeSource.now() + 8s);
  EXPECT_LE(Known, TimeSource.now() + 10s);
  EXPECT_TRUE(Receiver.CurrentState.takeUnsharedCold().empty());
  Server->close();
}

} // namespace
} // namespace comfreyrill
