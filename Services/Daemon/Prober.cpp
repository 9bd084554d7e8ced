#include "Prober.h"

#include <LibJson/JsonReader.h>

namespace comfreyrill {

namespace {

// The load in an answer that takes longer is out of date.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(200);
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
                         const LoadReport &ReportedLoad) {
  wire::ProbeNotice Notice;
  Notice.__set_service_name(Name.Value);
  Notice.__set_target(Target.Value);
  Notice.__set_in_flight(static_cast<std::int32_t>(ReportedLoad.InFlight));
  Notice.__set_draining(ReportedLoad.Draining);
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
  ReportedLoad.Draining =
      Message.draining ||
      Dependencies.Services.isLeaving(
          Runtime->Routing.Targets[*Position].Config.Address);
  const TimePoint Now = Dependencies.TimeSource.now();
  recordPeerProbe(Runtime->Routing, *Position, ReportedLoad, Now, Now);
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
  const TimePoint Deadline = Dependencies.TimeSource.now() + ProbeTimeout;
  LogLine Line("probe");
  Line.field("service", Name.Value).field("target", Target.Id.Value);
  HttpRequest Request{http::verb::get, "/load", 11};
  Request.set(http::field::host, formatEndpoint(Target.Address));
  const AttemptReport Report = co_await sendToTarget(
      Dependencies.Pool, Target.Address, Request, Dependencies.TargetLimits,
      Deadline, std::make_shared<AttemptHandle>());
  const auto Load = Report.Answer ? parseLoadAnswer(Report.Answer->body())
                                  : Result<LoadReport>(Report.Cause);
  const auto Position = findTarget(Runtime->Routing, Index, Target.Id);
  if (Load && Position) {
    LoadReport ReportedLoad = Load.value();
    ReportedLoad.Draining = ReportedLoad.Draining ||
                            Dependencies.Services.isLeaving(Target.Address);
    const bool WasDraining = Runtime->Routing.Targets[*Position].Draining;
    if (WasDraining || ReportedLoad.Draining)
      notifyPeers(Name, Target.Id, ReportedLoad);
    recordLoadReport(Runtime->Routing, *Position, ReportedLoad,
                     Dependencies.TimeSource.now());
    Line.field("in_flight", ReportedLoad.InFlight)
        .field("draining", ReportedLoad.Draining);
  } else {
    Line.field("cause", Load ? "target_removed" : Load.error().Message);
  }
  Dependencies.Decisions.write(Line);
}

} // namespace comfreyrill
