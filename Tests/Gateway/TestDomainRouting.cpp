#include "MeshHost.h"

#include <DomainExchange.h>

#include <LibPeer/Codec.h>
#include <LibPeer/PeerServer.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr double BytePrice = 2e-6;

TargetRegistration target(const std::string &Id, const std::string &Service,
                          const std::string &Domain) {
  TargetRegistration Made;
  Made.Id = TargetId(Id);
  Made.Service = ServiceName(Service);
  Made.Address = {"10.0.0.1", 8080};
  Made.Domain = FailureDomain(Domain);
  Made.Slots = 2;
  return Made;
}

LoadReport load(std::uint32_t InFlight) {
  LoadReport Made;
  Made.InFlight = InFlight;
  Made.Slots = 2;
  return Made;
}

Route route() {
  Route Made;
  Made.Name = "lookup";
  Made.LatencyObjective = 250ms;
  return Made;
}

/// A host of the domain west that knows of two other domains.
struct RoutingHost : MeshHost {
  RoutingHost(asio::io_context &Loop, const Clock &TimeSource,
              const std::string &Domain = "west")
      : MeshHost(Loop, TimeSource, Domain),
        Routing(
            std::make_shared<DomainRouting>(Dependencies, Domains, BytePrice)),
        Exchange(std::make_shared<DomainExchange>(Dependencies, *Routing,
                                                  Members, Domains, *Mesh)) {
    Dependencies.Domains = Routing.get();
    Members.Self.Domain = FailureDomain(Domain);
    Members.Self.PeerAddress = {"127.0.0.1", 1};
  }

  /// Ten targets of the service in each of three domains.
  void addTargets(const std::vector<std::string> &Services) {
    std::vector<TargetRegistration> Listed;
    for (const std::string &Service : Services)
      for (const char *Domain : {"west", "east", "north"})
        for (int Count = 0; Count < 10; ++Count)
          Listed.push_back(target(Service + Domain + std::to_string(Count),
                                  Service, Domain));
    CurrentState.applyTargetList(Listed, {1}, "store");
  }

  void setLoad(const std::string &Service, const std::string &Domain,
               std::uint32_t InFlight) {
    for (int Count = 0; Count < 10; ++Count)
      CurrentState.recordLoad(
          TargetId(Service + Domain + std::to_string(Count)), load(InFlight));
  }

  MemberTable Members;
  DomainTable Domains;
  std::shared_ptr<DomainRouting> Routing;
  std::shared_ptr<DomainExchange> Exchange;
};

/// A host whose own targets are full, with one update of the decision each
/// 250 ms.
struct PressedHost {
  PressedHost() : Host(Loop, TimeSource) {
    Host.addTargets({"stock"});
    for (const char *Domain : {"east", "north"})
      Host.Domains.Domains[FailureDomain(Domain)].HeardAt = TimeSource.now();
  }

  void run(int Updates, std::uint32_t EastBusy) {
    for (int Count = 0; Count < Updates; ++Count) {
      TimeSource.advance(DomainChoiceInterval);
      Host.setLoad("stock", "west", 2);
      for (int Request = 0; Request < 25; ++Request) {
        const RequestChoice Choice =
            Host.Routing->choose(Service, route(), 500, 0ms);
        if (Request % 4 == 0)
          Host.Routing->recordRefusal(Service, Choice);
      }
      Host.Routing->recordReport(
          Service, FailureDomain("east"),
          {{10, 10, 20, EastBusy, 1, false}, TimeSource.now(), 1400us});
      Host.Routing->update();
    }
  }

  int leaving() {
    int Count = 0;
    for (int Request = 0; Request < 200; ++Request)
      Count += Host.Routing->choose(Service, route(), 500, 0ms).Destination ==
                       FailureDomain("east")
                   ? 1
                   : 0;
    return Count;
  }

  asio::io_context Loop{1};
  ManualClock TimeSource;
  RoutingHost Host;
  ServiceName Service{"stock"};
};

// Guards against a decision that never reaches the requests, and against
// requests that leave for a domain of which nothing is known.
TEST(DomainRouting, RequestsLeaveForTheDomainWithSpareSlots) {
  PressedHost Pressed;
  EXPECT_EQ(Pressed.leaving(), 0);
  Pressed.run(12, 4);
  EXPECT_GT(Pressed.leaving(), 20);
  RequestChoice Choice;
  do
    Choice = Pressed.Host.Routing->choose(Pressed.Service, route(), 500, 0ms);
  while (!Choice.Destination);
  EXPECT_EQ(*Choice.Destination, FailureDomain("east"));
  EXPECT_NE(Pressed.Host.ProcessMetrics.text().find(
                "domain_leaving_share{service=\"stock\"} 0."),
            std::string::npos);
}

// Guards against requests that go on leaving when the neighbor has filled up.
TEST(DomainRouting, FullNeighborsReceiveNothing) {
  PressedHost Pressed;
  Pressed.run(12, 4);
  Pressed.run(16, 20);
  EXPECT_EQ(Pressed.leaving(), 0);
}

// Guards against candidates of a third domain, and against a request that stays
// but is probed or sent elsewhere.
TEST(DomainRouting, CandidatesOfOtherDomainsAreRemoved) {
  PressedHost Pressed;
  Pressed.run(1, 4);
  const auto CountFor = [&](RequestChoice Choice) {
    auto Candidates = Pressed.Host.CurrentState
                          .candidates(Pressed.Service, FailureDomain("west"))
                          .Targets;
    EXPECT_EQ(Candidates.size(), 30U);
    Pressed.Host.Routing->restrict(Pressed.Service, Choice, Candidates);
    return Candidates.size();
  };
  EXPECT_EQ(CountFor({std::nullopt, {}}), 10U);
  EXPECT_EQ(CountFor({FailureDomain("east"), {}}), 20U);
}

// Guards against a request that is kept at slow local targets while neighbors
// have free ones, and against its use of a domain that needs its own slots or
// has not been heard from.
TEST(DomainRouting, NeighborsAreUsedWhenNoLocalTargetIsGood) {
  PressedHost Pressed;
  Pressed.run(1, 4);
  ProbedCandidate Slow;
  Slow.Target.IsInLocalDomain = true;
  Slow.Load.Slots = 2;
  Slow.Load.Slowdown = 4;
  const auto CountFor = [&](const ProbedCandidate &Probed) {
    const auto Listed = [&] {
      return Pressed.Host.CurrentState
          .candidates(Pressed.Service, FailureDomain("west"))
          .Targets;
    };
    RequestChoice Choice;
    auto Candidates = Listed();
    Pressed.Host.Routing->restrict(Pressed.Service, Choice, Candidates);
    Pressed.Host.Routing->select(Pressed.Service, route(),
                                 {500, 0ms, 250ms, 90ms}, {Probed}, Choice);
    Candidates = Listed();
    Pressed.Host.Routing->restrict(Pressed.Service, Choice, Candidates);
    return Candidates.size();
  };
  EXPECT_EQ(CountFor(Slow), 30U);
  ProbedCandidate Good = Slow;
  Good.Load.Slowdown = 1;
  EXPECT_EQ(CountFor(Good), 10U);
  Pressed.Host.Routing->recordReport(
      Pressed.Service, FailureDomain("east"),
      {{10, 10, 20, 20, 1, true}, Pressed.TimeSource.now() + 1ms, 1400us});
  Pressed.Host.Routing->update();
  EXPECT_EQ(CountFor(Slow), 20U);
  Pressed.TimeSource.advance(4s);
  Pressed.Host.Routing->update();
  EXPECT_EQ(CountFor(Slow), 10U);
}

// Guards against a request without local targets that is refused although a
// neighbor has some.
TEST(DomainRouting, DomainWithoutTargetsSendsTheFirstRequest) {
  asio::io_context Loop{1};
  ManualClock TimeSource;
  RoutingHost Host(Loop, TimeSource);
  Host.CurrentState.applyTargetList({target("a", "stock", "east")}, {1},
                                    "store");
  const RequestChoice Choice =
      Host.Routing->choose(ServiceName("stock"), route(), 500, 0ms);
  EXPECT_EQ(Choice.Destination, FailureDomain("east"));
  EXPECT_EQ(Choice.Factors.Selection, 1);
}

// Guards against an operator who is told that local targets are slow when there
// are none.
TEST(DomainRouting, RequestWithoutLocalTargetsIsCountedAsSuch) {
  asio::io_context Loop{1};
  ManualClock TimeSource;
  RoutingHost Host(Loop, TimeSource);
  const ServiceName Service("stock");
  Host.CurrentState.applyTargetList({target("a", "stock", "east")}, {1},
                                    "store");
  RequestChoice Choice;
  auto Candidates =
      Host.CurrentState.candidates(Service, FailureDomain("west")).Targets;
  Host.Routing->restrict(Service, Choice, Candidates);
  ASSERT_EQ(Candidates.size(), 1U);
  ProbedCandidate Busy;
  Busy.Target = Candidates.front();
  Busy.Load.Slots = Busy.Load.InFlight = 2;
  EXPECT_EQ(Host.Routing->select(Service, route(), {500, 0ms, 250ms, 90ms},
                                 {Busy}, Choice),
            0U);
  EXPECT_EQ(Host.Routing->recordAttempt(Service, Busy.Target, Choice, 500),
            "no_local_target");
}

// Guards against bytes that cross domains without being counted.
TEST(DomainRouting, RequestsAndBytesToOtherDomainsAreCounted) {
  asio::io_context Loop{1};
  ManualClock TimeSource;
  RoutingHost Host(Loop, TimeSource);
  TargetCandidate Local;
  Local.IsInLocalDomain = true;
  Host.Routing->recordAttempt(ServiceName("stock"), Local, {}, 100);
  Host.Routing->recordAttempt(ServiceName("stock"), TargetCandidate{}, {},
                              60'000);
  const std::string Text = Host.ProcessMetrics.text();
  EXPECT_NE(Text.find("requests_to_other_domains_total{service=\"stock\"} 1\n"),
            std::string::npos);
  EXPECT_NE(
      Text.find("bytes_to_other_domains_total{service=\"stock\"} 60000\n"),
      std::string::npos);
}

/// The system's time and a shift, for tests whose connections have timers that
/// run by the system's time.
class ShiftedClock final : public Clock {
public:
  TimePoint now() const override { return BootClock::now() + Shift; }
  void advance(Duration Step) { Shift += Step; }

private:
  Duration Shift{0};
};

/// Receives the messages of other hosts.
struct Receiver {
  Receiver(asio::io_context &Loop, const Clock &TimeSource)
      : Server(std::make_shared<PeerServer>(
            Loop.get_executor(), TimeSource, PeerServerLimits{},
            [this](const wire::PeerBody &Body, const PeerReply &) {
              if (!Body.__isset.load_notice ||
                  !Body.load_notice.__isset.domains)
                return;
              Received.push_back(Body);
              if (Host != nullptr)
                Host->Exchange->onNotice(Body.load_notice.domains);
            })) {
    EXPECT_TRUE(Server->listen({"127.0.0.1", 0}));
  }
  ~Receiver() { Server->close(); }

  RoutingHost *Host = nullptr;
  std::vector<wire::PeerBody> Received;
  std::shared_ptr<PeerServer> Server;
};

void addRemote(RoutingHost &Host, const std::string &Domain,
               const Receiver &Other) {
  RemoteDomain &Remote = Host.Domains.Domains[FailureDomain(Domain)];
  Remote.HeardAt = Host.Dependencies.TimeSource.now();
  Remote.SeedContacts = {Other.Server->localEndpoint()};
}

// Guards against summaries that are sent although no domain needs them, that do
// not arrive, or whose numbers or delay are wrong.
TEST(DomainExchange, DelegatesSendWhatTheOtherDomainNeeds) {
  asio::io_context Loop{1};
  SystemClock TimeSource;
  RoutingHost West(Loop, TimeSource);
  RoutingHost East(Loop, TimeSource, "east");
  Receiver AtWest(Loop, TimeSource);
  Receiver AtEast(Loop, TimeSource);
  AtWest.Host = &West;
  AtEast.Host = &East;
  West.Members.Self.PeerAddress = AtWest.Server->localEndpoint();
  East.Members.Self.PeerAddress = AtEast.Server->localEndpoint();
  addRemote(West, "east", AtEast);
  addRemote(East, "west", AtWest);
  for (RoutingHost *Host : {&West, &East})
    Host->addTargets({"stock"});
  const auto Exchange = [&] {
    West.Exchange->sendNotices();
    East.Exchange->sendNotices();
    const TimePoint Until = TimeSource.now() + 100ms;
    while (TimeSource.now() < Until)
      Loop.run_one_for(10ms);
  };
  Exchange();
  EXPECT_TRUE(AtWest.Received.empty());
  EXPECT_TRUE(AtEast.Received.empty());

  for (int Round = 0; Round < 4; ++Round) {
    West.setLoad("stock", "west", 2);
    East.setLoad("stock", "east", 1);
    Exchange();
  }
  const auto Reports = West.Routing->reports(ServiceName("stock"));
  ASSERT_TRUE(Reports.contains(FailureDomain("east")));
  const ReportedDomainLoad &Reported = Reports.at(FailureDomain("east"));
  EXPECT_EQ(Reported.Load.Targets, 10U);
  EXPECT_EQ(Reported.Load.KnownTargets, 10U);
  EXPECT_EQ(Reported.Load.UsefulSlots, 20U);
  EXPECT_EQ(Reported.Load.BusySlots, 10U);
  EXPECT_DOUBLE_EQ(Reported.Load.Slowdown, 1);
  EXPECT_GT(Reported.Delay, 0ns);
  EXPECT_LT(Reported.Delay, 100ms);
  EXPECT_TRUE(East.Routing->reports(ServiceName("stock")).empty());
}

// Guards against two delegates that both relay, which doubles the bytes, and
// against none that does when the first one is frozen.
TEST(DomainExchange, SecondDelegateRelaysWhenTheFirstIsSilent) {
  asio::io_context Loop{1};
  ShiftedClock TimeSource;
  RoutingHost Host(Loop, TimeSource);
  Receiver Other(Loop, TimeSource);
  Host.addTargets({"stock"});
  Host.Domains.Domains[FailureDomain("east")].HeardAt = TimeSource.now();
  Peer First;
  First.Description.PeerAddress = Other.Server->localEndpoint();
  First.Rank = 1;
  Host.Members.Peers.push_back(First);
  const auto NoticesAfter = [&](Duration Silence) {
    Other.Received.clear();
    wire::DomainNotice Relayed;
    Relayed.failure_domain = "west";
    Host.Exchange->onNotice(Relayed);
    TimeSource.advance(Silence);
    Host.Members.Peers[0].LastHeard = TimeSource.now();
    Host.setLoad("stock", "west", 2);
    Host.Routing->recordReport(
        ServiceName("stock"), FailureDomain("east"),
        {{10, 10, 20, 4, 1, false}, TimeSource.now(), 1400us});
    Host.Exchange->sendNotices();
    const auto Until = std::chrono::steady_clock::now() + 300ms;
    while (Other.Received.empty() && std::chrono::steady_clock::now() < Until)
      Loop.run_one_for(10ms);
    return Other.Received.size();
  };
  EXPECT_EQ(NoticesAfter(400ms), 0U);
  EXPECT_EQ(NoticesAfter(700ms), 1U);
}

// Guards against messages that grow with the number of services and domains
// beyond 1 kB a second and host, at 2.5 notices a second.
TEST(DomainExchange, RelayedNoticesStayWithinTheBudget) {
  asio::io_context Loop{1};
  SystemClock TimeSource;
  RoutingHost Host(Loop, TimeSource);
  Receiver Other(Loop, TimeSource);
  std::vector<std::string> Services;
  for (int Count = 0; Count < 40; ++Count)
    Services.push_back("service-" + std::to_string(Count));
  Host.addTargets(Services);
  for (const char *Domain : {"east", "north"})
    Host.Domains.Domains[FailureDomain(Domain)].HeardAt = TimeSource.now();
  for (const std::string &Service : Services) {
    Host.setLoad(Service, "west", 2);
    for (const char *Domain : {"east", "north"})
      Host.Routing->recordReport(
          ServiceName(Service), FailureDomain(Domain),
          {{300, 300, 1200, 1000, 1.5, true}, TimeSource.now(), 1400us});
  }
  Peer Neighbor;
  Neighbor.Description.PeerAddress = Other.Server->localEndpoint();
  Neighbor.LastHeard = TimeSource.now();
  Host.Members.Peers.push_back(Neighbor);
  Host.Exchange->sendNotices();
  const TimePoint Until = TimeSource.now() + 2s;
  while (Other.Received.empty() && TimeSource.now() < Until)
    Loop.run_one_for(10ms);
  ASSERT_EQ(Other.Received.size(), 1U);
  const auto &Summaries = Other.Received[0].load_notice.domains.summaries;
  ASSERT_EQ(Summaries.size(), 2U);
  EXPECT_EQ(Summaries[0].services.size(), 5U);
  wire::PeerMessage Message;
  Message.correlation = 0;
  Message.body = Other.Received[0];
  const auto Bytes = encode(Message);
  ASSERT_TRUE(Bytes);
  RecordProperty("bytes", static_cast<int>(Bytes.value().size()));
  EXPECT_LT(2.5 * static_cast<double>(Bytes.value().size()), 1000);
}

// Guards against relayed summaries that are lost, that hold more busy slots
// than there are, or that count as known for longer than their age allows.
TEST(DomainExchange, RelayedSummariesReachTheDecision) {
  asio::io_context Loop{1};
  ManualClock TimeSource;
  RoutingHost Host(Loop, TimeSource);
  wire::DomainNotice Notice;
  Notice.failure_domain = "west";
  wire::DomainSummary Summary;
  Summary.failure_domain = "east";
  Summary.age_ms = 300;
  Summary.__set_delay_us(1400);
  wire::ServiceSummary Service;
  Service.service_name = "stock";
  Service.targets = Service.known_targets = 10;
  Service.useful_slots = 20;
  Service.busy_slots = 30;
  Service.slowdown_percent = 150;
  Summary.services.push_back(Service);
  Notice.summaries.push_back(Summary);
  Host.Exchange->onNotice(Notice);
  auto Reports = Host.Routing->reports(ServiceName("stock"));
  ASSERT_TRUE(Reports.contains(FailureDomain("east")));
  EXPECT_EQ(Reports[FailureDomain("east")].Delay, 1400us);
  EXPECT_EQ(Reports[FailureDomain("east")].Load.Slowdown, 1.5);
  EXPECT_EQ(Reports[FailureDomain("east")].Load.BusySlots, 20U);
  TimeSource.advance(701ms);
  EXPECT_TRUE(Host.Routing->reports(ServiceName("stock")).empty());
}

} // namespace
} // namespace comfreyrill
