#include <Client/FleetView.h>

#include <Client/HostClient.h>
#include <LibManifest/HostReport.h>

#include <algorithm>

namespace comfreyrill {

namespace {

Error noSourceError() {
  return {ErrorKind::Unavailable,
          "no source answered; name a reachable host with --host ip:port, or "
          "the platform with --platform ip:port"};
}

std::vector<HostDescription> allHosts(const HostStatus &Status) {
  std::vector<HostDescription> Hosts = Status.Peers;
  Hosts.push_back(Status.Self);
  std::sort(Hosts.begin(), Hosts.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Host.Value < Right.Host.Value;
            });
  return Hosts;
}

Awaitable<Result<HostStatus>> fetchHostStatus(ClientContext &Context,
                                              Endpoint Host) {
  auto Body = co_await sendHostRequest(Host, http::verb::get, "/v1/status",
                                       attemptDeadline(Context));
  if (!Body)
    co_return Body.error();
  auto Status = parseHostStatus(Body.value());
  // A host omits its own addresses from its status.
  if (Status && Status.value().Self.AdminAddress.empty())
    Status.value().Self.AdminAddress = formatEndpoint(Host);
  co_return Status;
}

// Status from the first host given with --host that answers.
Awaitable<Result<HostStatus>> fetchGivenHostStatus(ClientContext &Context) {
  Result<HostStatus> LastStatus = noSourceError();
  for (const Endpoint &Host : Context.Options.Hosts) {
    LastStatus = co_await fetchHostStatus(Context, Host);
    if (LastStatus)
      break;
  }
  co_return LastStatus;
}

Awaitable<Result<HostReport>> readHostReport(ClientContext &Context) {
  if (Context.Options.Platforms.empty())
    co_return noSourceError();
  auto Object =
      co_await Context.Platform.read("report", attemptDeadline(Context));
  if (!Object)
    co_return Object.error();
  co_return parseHostReport(Object.value().Value);
}

// The remedy, with the cause in parentheses. Errors of hosts given with --host
// take precedence over that of the platform's report, because --host names the
// source more precisely.
Error noSourceErrorWithCause(const ClientContext &Context,
                             const Error &HostCause, const Error &ReportCause) {
  Error Cause = noSourceError();
  const bool HasHosts = !Context.Options.Hosts.empty();
  if (HasHosts || !Context.Options.Platforms.empty())
    Cause.Message += " (" + (HasHosts ? HostCause : ReportCause).Message + ")";
  return Cause;
}

} // namespace

// Each source gets a quarter of the remaining time, which leaves time for the
// others.
TimePoint attemptDeadline(const ClientContext &Context) {
  const TimePoint Now = Context.TimeSource.now();
  return Now + std::max(Duration{0}, (Context.Deadline - Now) / 4);
}

Awaitable<Result<VersionedEnvelope>> readEnvelope(ClientContext &Context,
                                                  TimePoint Deadline) {
  if (Context.Options.Platforms.empty())
    co_return Error{ErrorKind::Unavailable, "no platform is known; name it "
                                            "with --platform ip:port"};
  auto Object = co_await Context.Platform.read("manifest", Deadline);
  if (!Object && Object.error().Kind == ErrorKind::NotFound)
    co_return VersionedEnvelope{};
  if (!Object)
    co_return Object.error();
  auto Envelope = parseEnvelope(Object.value().Value);
  if (!Envelope)
    co_return Error{Envelope.error().Kind,
                    "this version of the client cannot read the manifest in "
                    "force; use the version that applied it: " +
                        Envelope.error().Message};
  VersionedEnvelope Out;
  Out.Version = Object.value().Version;
  Out.Envelope = std::move(Envelope.value());
  co_return Out;
}

Awaitable<Result<HostStatus>> fetchAnyHostStatus(ClientContext &Context) {
  Result<HostStatus> LastStatus = co_await fetchGivenHostStatus(Context);
  if (LastStatus)
    co_return LastStatus;
  const auto Report = co_await readHostReport(Context);
  if (!Report)
    co_return noSourceErrorWithCause(Context, LastStatus.error(),
                                     Report.error());
  for (const HostReportEntry &Entry : Report.value().Hosts) {
    if (Entry.State == "lost" || Entry.State == "suspect")
      continue;
    LastStatus = co_await fetchHostStatus(Context, Entry.AdminAddress);
    if (LastStatus)
      co_return LastStatus;
  }
  co_return noSourceErrorWithCause(Context, LastStatus.error(),
                                   LastStatus.error());
}

Awaitable<Result<FleetView>> fetchFleetView(ClientContext &Context) {
  FleetView View;
  Result<HostStatus> Status = co_await fetchGivenHostStatus(Context);
  if (Status) {
    View.Hosts = allHosts(Status.value());
    View.Services = std::move(Status.value().Services);
  } else {
    const auto Report = co_await readHostReport(Context);
    if (!Report)
      co_return noSourceErrorWithCause(Context, Status.error(), Report.error());
    for (const HostReportEntry &Entry : Report.value().Hosts) {
      HostDescription Host;
      Host.Host = Entry.Host;
      Host.Incarnation = Entry.Incarnation;
      Host.State = Entry.State;
      Host.InForce = Entry.InForce;
      Host.AdminAddress = formatEndpoint(Entry.AdminAddress);
      View.Hosts.push_back(std::move(Host));
    }
  }
  for (const HostDescription &Host : View.Hosts)
    View.Expected.Value = std::max(View.Expected.Value, Host.InForce.Value);
  const auto Observed =
      co_await readEnvelope(Context, attemptDeadline(Context));
  if (Observed && Observed.value().Envelope)
    View.Expected.Value =
        std::max(View.Expected.Value, Observed.value().Envelope->Number.Value);
  co_return View;
}

Awaitable<Result<Endpoint>> findAdminEndpoint(ClientContext &Context) {
  const std::string Name = Context.Options.Host;
  auto Address = parseEndpoint(Name);
  if (Address)
    co_return Address;
  const auto View = co_await fetchFleetView(Context);
  if (!View)
    co_return View.error();
  std::string KnownNames;
  for (const HostDescription &Host : View.value().Hosts) {
    if (Host.Host.Value == Name)
      co_return parseEndpoint(Host.AdminAddress);
    KnownNames += (KnownNames.empty() ? "" : ", ") + Host.Host.Value;
  }
  co_return Error{ErrorKind::NotFound, "no host is named '" + Name +
                                           "'; known hosts: " + KnownNames};
}

std::vector<HostDescription>
lateHosts(const std::vector<HostDescription> &Hosts, ManifestNumber Expected) {
  std::vector<HostDescription> Late;
  for (const HostDescription &Host : Hosts)
    if (Host.State != "lost" && Host.InForce.Value < Expected.Value)
      Late.push_back(Host);
  return Late;
}

} // namespace comfreyrill
