#include <LibManifest/ManifestReader.h>

#include <LibManifest/ManifestCheck.h>
#include <LibManifest/PlatformLimits.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace comfreyrill {

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration Hour = std::chrono::hours(1);

bool isMethod(std::string_view Text) {
  return !Text.empty() && Text.size() <= 16 &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character >= 'A' && Character <= 'Z';
         });
}

bool isPathPrefix(std::string_view Text) {
  return Text.starts_with('/') && Text.size() <= 1024 &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character > ' ' && Character < 127 && Character != '?' &&
                  Character != '#';
         });
}

OperationConfig readOperation(JsonReader Reader) {
  OperationConfig Operation;
  Reader.required("method").matchingText(
      Operation.Method, "an HTTP method in capital letters, at most 16",
      isMethod);
  Reader.required("path_prefix")
      .matchingText(Operation.PathPrefix,
                    "a path that starts with '/', without '?', '#' and "
                    "spaces, at most 1024 bytes",
                    isPathPrefix);
  Reader.required("idempotent").boolean(Operation.Idempotent);
  return Operation;
}

TargetConfig readTarget(JsonReader Reader) {
  TargetConfig Target;
  Reader.required("id").identifier(Target.Id);
  Reader.required("address").endpoint(Target.Address, 1);
  Reader.required("failure_domain").identifier(Target.Domain);
  Reader.required("slots").integer(Target.Slots, 1, 10'000);
  Reader.optional("max_connections").integer(Target.MaxConnections, 1, 100'000);
  return Target;
}

void readPolicies(ServiceConfig &Service, JsonReader &Reader) {
  JsonReader Retry = Reader.optional("retry");
  Retry.optional("budget_ratio").number(Service.Retry.BudgetRatio, 0, 1);
  Retry.optional("max_attempts").integer(Service.Retry.MaxAttempts, 1, 10);

  JsonReader Hedge = Reader.optional("hedge");
  Hedge.optional("enabled").boolean(Service.Hedge.Enabled);
  Hedge.optional("budget_ratio").number(Service.Hedge.BudgetRatio, 0, 1);
  Hedge.optional("quantile").number(Service.Hedge.Quantile, 0.5, 0.9999);
  Hedge.optional("minimum_delay_ms")
      .duration(Service.Hedge.MinimumDelay, Duration{0}, 60'000 * Millisecond);

  JsonReader LoadProbing = Reader.optional("measuring");
  LoadProbing.optional("probes_per_hundred_calls")
      .number(Service.LoadProbing.ProbesPerHundredCalls, 0, 100);
  LoadProbing.optional("probes_per_second")
      .number(Service.LoadProbing.ProbesPerSecond, 0, 10'000);
}

ServiceConfig readService(JsonReader Reader) {
  ServiceConfig Service;
  Reader.required("name").identifier(Service.Name);
  Reader.optional("operations")
      .array(0, JsonReader::NoMaximum, [&](JsonReader Element) {
        Service.Operations.push_back(readOperation(std::move(Element)));
      });
  Reader.required("targets").array(
      1, JsonReader::NoMaximum, [&](JsonReader Element) {
        Service.Targets.push_back(readTarget(std::move(Element)));
      });
  Reader.optional("default_timeout_ms")
      .duration(Service.DefaultTimeout, Millisecond, Hour);
  Reader.optional("maximum_timeout_ms")
      .duration(Service.MaximumTimeout, Millisecond, Hour);
  Reader.optional("queue_length").integer(Service.QueueLength, 0, 100'000);
  Reader.optional("fair_share").number(Service.FairShare, 0.01, 1'000);
  readPolicies(Service, Reader);
  Reader.optional("witness").enumeration<WitnessPlacement>(
      Service.Witness, {{"same_domain", WitnessPlacement::SameDomain},
                        {"other_domain", WitnessPlacement::OtherDomain}});
  return Service;
}

std::string parentPath(const std::string &Path) {
  const std::size_t Point = Path.rfind('.');
  return Point == std::string::npos ? "" : Path.substr(0, Point);
}

std::string joinPath(const std::string &Prefix, const std::string &Path) {
  return Prefix.empty() ? Path : Prefix + "." + Path;
}

} // namespace

Manifest readManifest(JsonDocument &Document, JsonReader Root) {
  Manifest Out;
  Root.optional("hosts_maximum").integer(Out.HostsMaximum, 1, 1'000);
  Root.optional("address_lifetime_ms")
      .duration(Out.AddressLifetime, 100 * Millisecond, Hour);
  Root.required("services")
      .array(1, JsonReader::NoMaximum, [&](JsonReader Element) {
        Out.Services.push_back(readService(std::move(Element)));
      });

  // An invalid field holds its default here. Comparing that default with other
  // fields could report faults that do not exist, so faults in objects with an
  // invalid field are dropped, and an invalid hosts_maximum counts as 0.
  std::unordered_set<std::string> FaultyObjects;
  const std::string HostsPath = joinPath(Root.path(), "hosts_maximum");
  bool IsHostsMaximumFaulty = false;
  for (const JsonFault &Fault : Document.faults()) {
    FaultyObjects.insert(parentPath(Fault.Path));
    IsHostsMaximumFaulty |= Fault.Path == HostsPath;
  }
  const std::uint32_t HostsMaximum = std::exchange(
      Out.HostsMaximum, IsHostsMaximumFaulty ? 0 : Out.HostsMaximum);
  for (JsonFault &Fault : checkManifest(Out)) {
    Fault.Path = joinPath(Root.path(), Fault.Path);
    if (!FaultyObjects.contains(parentPath(Fault.Path)))
      Document.addFault(std::move(Fault));
  }
  Out.HostsMaximum = HostsMaximum;
  return Out;
}

Result<Manifest> parseManifest(std::string_view Text) {
  JsonDocument Document(Text, {MaximumPlatformValueBytes, 16});
  Manifest Out = readManifest(Document, Document.root());
  TRY(Document.finish("manifest"));
  return Out;
}

} // namespace comfreyrill
