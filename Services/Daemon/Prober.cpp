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

Prober::Prober(const ExecutionContext &Environment)
    : Environment(Environment) {}

void Prober::probeIfDue(const std::shared_ptr<ServiceRuntime> &Runtime) {
  const auto Due = mayProbe(Runtime->Routing, Environment.TimeSource.now());
  if (!Due)
    return;
  asio::co_spawn(Environment.Context,
                 probe(Runtime, *Due, Runtime->Routing.Targets[*Due].Config),
                 asio::detached);
}

Awaitable<void> Prober::probe(std::shared_ptr<ServiceRuntime> Runtime,
                              TargetIndex Index, TargetConfig Target) {
  const ServiceName Name = Runtime->Routing.Config.Name;
  ++Environment.Figures.service(Name).Probes;
  const TimePoint Limit = Environment.TimeSource.now() + ProbeTime;
  LogLine Line("probe");
  Line.field("service", Name.Value).field("target", Target.Id.Value);
  HttpRequest Request{http::verb::get, "/load", 11};
  Request.set(http::field::host, formatEndpoint(Target.Address));
  const AttemptReport Report = co_await sendToTarget(
      Environment.Pool, Target.Address, Request, Environment.TargetLimits,
      Limit, std::make_shared<AttemptHandle>());
  const auto Load = Report.Answer ? parseLoadAnswer(Report.Answer->body())
                                  : Result<LoadReport>(Report.Cause);
  const auto Position = findTarget(Runtime->Routing, Index, Target.Id);
  if (Load && Position) {
    LoadReport Known = Load.value();
    Known.Draining =
        Known.Draining || Environment.Services.isLeaving(Target.Address);
    recordLoadReport(Runtime->Routing, *Position, Known,
                     Environment.TimeSource.now());
    Line.field("in_flight", Known.InFlight).field("draining", Known.Draining);
  } else {
    Line.field("cause", Load ? "target_removed" : Load.error().Message);
  }
  Environment.Decisions.write(Line);
}

} // namespace comfreyrill
