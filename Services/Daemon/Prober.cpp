#include "Prober.h"

#include "TargetPauses.h"

#include <LibJson/JsonReader.h>

namespace comfreyrill {

namespace {

// The load in an answer that takes longer is out of date.
constexpr Duration LoadAgeMaximum = std::chrono::milliseconds(200);
// A later answer still says whether the target drains or asks for a pause.
constexpr Duration ProbeTimeout = std::chrono::seconds(2);
// A notice of a peer does not tell when its probe was sent. By this time before
// its arrival, unless the peer or the link to it stalled.
constexpr Duration NoticeAgeMaximum = std::chrono::seconds(1);
constexpr std::uint64_t CountMaximum = 1'000'000;

} // namespace

Result<LoadReport> parseLoadAnswer(std::string_view Text) {
  JsonLimits Limits;
  Limits.Bytes = 4096;
  JsonDocument Document(Text, Limits);
  JsonReader Root = Document.root();
  LoadReport Report;
  Root.required("in_flight").integer(Report.InFlight, 0, CountMaximum);
  Root.optional("slots").integer(Report.Slots, 0, CountMaximum);
  Root.optional("queued").integer(Report.Queued, 0, CountMaximum);
  Root.optional("draining").boolean(Report.Draining);
  TRY(Document.finish("load report", UnknownFields::Ignore));
  return Report;
}

Prober::Prober(const DaemonDependencies &Dependencies, Broadcast &PeerBroadcast)
    : Dependencies(Dependencies), PeerBroadcast(PeerBroadcast) {}

void Prober::notifyPeers(const ServiceName &Name, const TargetId &Target,
                         bool IsDraining) {
  wire::ProbeNotice Notice;
  Notice.__set_service_name(Name.Value);
  Notice.__set_target(Target.Value);
  // Peers do not use the load, because it is out of date on arrival.
  Notice.__set_in_flight(0);
  Notice.__set_draining(IsDraining);
  wire::PeerBody Body;
  Body.__set_probe_notice(Notice);
  PeerBroadcast.send(Body);
}

void Prober::onNotice(const wire::ProbeNotice &Message) {
  const auto Runtime =
      Dependencies.Services.find(ServiceName(Message.service_name));
  if (!Runtime || Message.in_flight < 0)
    return;
  const auto Position =
      findTarget(Runtime->Routing, 0, TargetId(Message.target));
  if (!Position)
    return;
  LoadReport ReportedLoad;
  ReportedLoad.InFlight = static_cast<std::uint32_t>(Message.in_flight);
  ReportedLoad.Draining = Message.draining;
  const TimePoint Now = Dependencies.TimeSource.now();
  recordPeerProbe(Runtime->Routing, *Position, ReportedLoad,
                  ReportedLoad.Draining ? Now : Now - NoticeAgeMaximum, Now);
}

void Prober::probeIfDue(const std::shared_ptr<ServiceRuntime> &Runtime) {
  const auto DueTarget =
      chooseProbeTarget(Runtime->Routing, Dependencies.TimeSource.now());
  if (!DueTarget)
    return;
  asio::co_spawn(
      Dependencies.Context,
      probe(Runtime, *DueTarget, Runtime->Routing.Targets[*DueTarget].Config),
      asio::detached);
}

Awaitable<void> Prober::probe(std::shared_ptr<ServiceRuntime> Runtime,
                              TargetIndex Index, TargetConfig Target) {
  const ServiceName Name = Runtime->Routing.Config.Name;
  ++Dependencies.ProcessMetrics.service(Name).Probes;
  const TimePoint Begin = Dependencies.TimeSource.now();
  LogLine Line("probe");
  Line.field("service", Name.Value).field("target", Target.Id.Value);
  HttpRequest Request{http::verb::get, "/load", 11};
  Request.set(http::field::host, formatEndpoint(Target.Address));
  std::function<bool()> MayBegin = [Runtime, Index, Target,
                                    &TimeSource = Dependencies.TimeSource] {
    const auto Same = findSameTarget(Runtime->Routing, Index, Target);
    return Same &&
           !isPaused(Runtime->Routing.Targets[*Same].Pause, TimeSource.now());
  };
  const AttemptReport Report = co_await sendToTarget(
      Dependencies.Pool, Target.Address, Request, Dependencies.TargetLimits,
      Begin + ProbeTimeout, std::make_shared<AttemptHandle>(),
      std::move(MayBegin));
  auto Load = Report.Answer ? parseLoadAnswer(Report.Answer->body())
                            : Result<LoadReport>(Report.Cause);
  const auto Position = findSameTarget(Runtime->Routing, Index, Target);
  if (!Position) {
    Line.field("cause", "target_removed");
  } else if (Load) {
    Load.value().Draining = Load.value().Draining || Report.SaysDraining;
    Load.value().RequestedAt = Begin;
    Line.field("in_flight", Load.value().InFlight)
        .field("draining", Load.value().Draining);
  } else {
    Line.field("cause", Load.error().Message);
  }
  Dependencies.Decisions.write(Line);
  if (!Position)
    co_return;
  if (Report.RetryAfter)
    pauseTarget(Dependencies, *Runtime, *Position, *Report.RetryAfter, "probe");
  const TimePoint Now = Dependencies.TimeSource.now();
  RoutingState &Routing = Runtime->Routing;
  const bool WasDraining = Routing.Targets[*Position].ReportsDraining;
  const bool IsTimely = Load && Now - Begin <= LoadAgeMaximum;
  const bool SaysDraining =
      Report.SaysDraining || (Load && Load.value().Draining);
  if (IsTimely)
    recordLoadReport(Routing, *Position, Load.value(), Now);
  else if (SaysDraining)
    recordDrainingAnswer(Routing, *Position, Now);
  const bool IsAccepted =
      (IsTimely || SaysDraining) &&
      Routing.Targets[*Position].ReportsDraining == SaysDraining;
  if (IsAccepted && (WasDraining || SaysDraining))
    notifyPeers(Name, Target.Id, SaysDraining);
}

} // namespace comfreyrill
