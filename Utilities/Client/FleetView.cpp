#include <Client/FleetView.h>

#include <Client/HostClient.h>
#include <LibManifest/HostReport.h>

#include <algorithm>

namespace comfreyrill {

namespace {

Error noSource() {
  return {ErrorKind::Unavailable,
          "no source answered; name a reachable host with --host ip:port, or "
          "the platform with --platform ip:port"};
}

std::vector<HostDescription> hostsOf(const HostStatus &Status) {
  std::vector<HostDescription> Hosts = Status.Peers;
  Hosts.push_back(Status.Self);
  std::sort(Hosts.begin(), Hosts.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Host.Value < Right.Host.Value;
            });
  return Hosts;
}

Awaitable<Result<HostStatus>> askHost(ClientContext &Context, Endpoint Host) {
  auto Body = co_await callHost(Host, http::verb::get, "/v1/status",
                                attemptDeadline(Context));
  if (!Body)
    co_return Body.error();
  auto Status = parseHostStatus(Body.value());
  // A host's own answer leaves out its addresses.
  if (Status && Status.value().Self.AdminAddress.empty())
    Status.value().Self.AdminAddress = formatEndpoint(Host);
  co_return Status;
}

// Status of the first given host that answers.
Awaitable<Result<HostStatus>> askGivenHosts(ClientContext &Context) {
  Result<HostStatus> Last = noSource();
  for (const Endpoint &Host : Context.Options.Hosts) {
    Last = co_await askHost(Context, Host);
    if (Last)
      break;
  }
  co_return Last;
}

Awaitable<Result<HostReport>> readReport(ClientContext &Context) {
  if (Context.Options.Platforms.empty())
    co_return noSource();
  auto Object =
      co_await Context.Platform.read("report", attemptDeadline(Context));
  if (!Object)
    co_return Object.error();
  co_return parseHostReport(Object.value().Value);
}

// The failure of the source that was named most precisely, with the remedy.
Error withRemedy(const ClientContext &Context, const Error &HostCause,
                 const Error &ReportCause) {
  Error Cause = noSource();
  const bool HasHosts = !Context.Options.Hosts.empty();
  if (HasHosts || !Context.Options.Platforms.empty())
    Cause.Message += " (" + (HasHosts ? HostCause : ReportCause).Message + ")";
  return Cause;
}

} // namespace

// A quarter of the time for each source leaves time for the others.
TimePoint attemptDeadline(const ClientContext &Context) {
  const TimePoint Now = Context.TimeSource.now();
  return Now + std::max(Duration{0}, (Context.Deadline - Now) / 4);
}

Awaitable<Result<ObservedEnvelope>> observeEnvelope(ClientContext &Context,
                                                    TimePoint Deadline) {
  if (Context.Options.Platforms.empty())
    co_return Error{ErrorKind::Unavailable, "no platform is known; name it "
                                            "with --platform ip:port"};
  auto Object = co_await Context.Platform.read("manifest", Deadline);
  if (!Object && Object.error().Kind == ErrorKind::NotFound)
    co_return ObservedEnvelope{};
  if (!Object)
    co_return Object.error();
  auto Envelope = parseEnvelope(Object.value().Value);
  if (!Envelope)
    co_return Error{Envelope.error().Kind,
                    "this version of the client cannot read the manifest in "
                    "force; use the version that applied it: " +
                        Envelope.error().Message};
  ObservedEnvelope Out;
  Out.Version = Object.value().Version;
  Out.Envelope = std::move(Envelope.value());
  co_return Out;
}

Awaitable<Result<HostStatus>> observeHost(ClientContext &Context) {
  Result<HostStatus> Last = co_await askGivenHosts(Context);
  if (Last)
    co_return Last;
  const auto Report = co_await readReport(Context);
  if (!Report)
    co_return withRemedy(Context, Last.error(), Report.error());
  for (const HostReportEntry &Entry : Report.value().Hosts) {
    if (Entry.State == "lost" || Entry.State == "suspect")
      continue;
    Last = co_await askHost(Context, Entry.AdminAddress);
    if (Last)
      co_return Last;
  }
  co_return withRemedy(Context, Last.error(), Last.error());
}

Awaitable<Result<FleetView>> observeFleet(ClientContext &Context) {
  FleetView View;
  Result<HostStatus> Status = co_await askGivenHosts(Context);
  if (Status) {
    View.Hosts = hostsOf(Status.value());
    View.Services = std::move(Status.value().Services);
  } else {
    const auto Report = co_await readReport(Context);
    if (!Report)
      co_return withRemedy(Context, Status.error(), Report.error());
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
      co_await observeEnvelope(Context, attemptDeadline(Context));
  if (Observed && Observed.value().Envelope)
    View.Expected.Value =
        std::max(View.Expected.Value, Observed.value().Envelope->Number.Value);
  co_return View;
}

Awaitable<Result<Endpoint>> findHost(ClientContext &Context) {
  const std::string Name = Context.Options.Host;
  auto Address = parseEndpoint(Name);
  if (Address)
    co_return Address;
  const auto View = co_await observeFleet(Context);
  if (!View)
    co_return View.error();
  std::string Known;
  for (const HostDescription &Host : View.value().Hosts) {
    if (Host.Host.Value == Name)
      co_return parseEndpoint(Host.AdminAddress);
    Known += (Known.empty() ? "" : ", ") + Host.Host.Value;
  }
  co_return Error{ErrorKind::NotFound,
                  "no host is named '" + Name + "'; known hosts: " + Known};
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
