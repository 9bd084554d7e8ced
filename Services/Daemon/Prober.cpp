
#include "Prober.h"

#include <LibJson/JsonReader.h>

namespace comfreyrill {

namespace {

// An answer that takes longer describes a load that has passed.
constexpr Duration ProbeTime = std::chrono::milliseconds(200);
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

Prober::Prober(const DaemonDependencies &Dependencies, Broadcast &Hosts)
    : Dependencies(Dependencies), Hosts(Hosts) {}

void Prober::notifyHosts(const ServiceName &Name, const TargetId &Target,
                         const LoadReport &Known) {
  wire::ProbeNotice Notice;
  Notice.__set_service_name(Name.Value);
  Notice.__set_target(Target.Value);
  Notice.__set_in_flight(static_cast<std::int32_t>(Known.InFlight));
  Notice.__set_draining(Known.Draining);
  wire::PeerBody Body;
  Body.__set_probe_notice(Notice);
  Hosts.send(Body);
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
  LoadReport Known;
  Known.InFlight = static_cast<std::uint32_t>(Message.in_flight);
  Known.Draining = Message.draining ||
                   Dependencies.Services.isLeaving(
                       Runtime->Routing.Targets[*Position].Config.Address);
  const TimePoint Now = Dependencies.TimeSource.now();
  recordPeerProbe(Runtime->Routing, *Position, Known, Now, Now);
}

void Prober::probeIfDue(const std::shared_ptr<ServiceRuntime> &Runtime) {
  const auto Due =
      chooseProbeTarget(Runtime->Routing, Dependencies.TimeSource.now());
  if (!Due)
    return;
  asio::co_spawn(Dependencies.Context,
                 probe(Runtime, *Due, Runtime->Routing.Targets[*Due].Config),
                 asio::detached);
}

Awaitable<void> Prober::probe(std::shared_ptr<ServiceRuntime> Runtime,
                              TargetIndex Index, TargetConfig Target) {
  const ServiceName Name = Runtime->Routing.Config.Name;
  ++Dependencies.ProcessMetrics.service(Name).Probes;
  const TimePoint Limit = Dependencies.TimeSource.now() + ProbeTime;
  LogLine Line("probe");
  Line.field("service", Name.Value).field("target", Target.Id.Value);
  HttpRequest Request{http::verb::get, "/load", 11};
  Request.set(http::field::host, formatEndpoint(Target.Address));
  const AttemptReport Report = co_await sendToTarget(
      Dependencies.Pool, Target.Address, Request, Dependencies.TargetLimits,
      Limit, std::make_shared<AttemptHandle>());
  const auto Load = Report.Answer ? parseLoadAnswer(Report.Answer->body())
                                  : Result<LoadReport>(Report.Cause);
  const auto Position = findTarget(Runtime->Routing, Index, Target.Id);
  if (Load && Position) {
    LoadReport Known = Load.value();
    Known.Draining =
        Known.Draining || Dependencies.Services.isLeaving(Target.Address);
    const bool WasDraining = Runtime->Routing.Targets[*Position].Draining;
    if (WasDraining || Known.Draining)
      notifyHosts(Name, Target.Id, Known);
    recordLoadReport(Runtime->Routing, *Position, Known,
                     Dependencies.TimeSource.now());
    Line.field("in_flight", Known.InFlight).field("draining", Known.Draining);
  } else {
    Line.field("cause", Load ? "target_removed" : Load.error().Message);
  }
  Dependencies.Decisions.write(Line);
}

} // namespace comfreyrill
