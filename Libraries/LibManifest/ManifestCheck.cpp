#include <LibManifest/ManifestCheck.h>

#include <LibJson/JsonText.h>

#include <string>
#include <unordered_map>

namespace comfreyrill {

namespace {

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

std::string indexed(const std::string &Prefix, std::size_t Index) {
  return Prefix + "[" + std::to_string(Index) + "]";
}

std::string milliseconds(Duration Time) {
  return numberText(std::chrono::duration<double, std::milli>(Time).count());
}

/// Records where each text occurs first and reports any repetition as a fault.
class FirstUses {
public:
  explicit FirstUses(std::string Rule) : Rule(std::move(Rule)) {}

  void add(const std::string &Text, std::string Path,
           std::vector<JsonFault> &Faults) {
    if (Text.empty())
      return;
    const auto [First, Inserted] = Paths.emplace(Text, Path);
    if (!Inserted)
      Faults.push_back({std::move(Path), quoted(Text) + " again",
                        Rule + "; it is used at " + First->second});
  }

private:
  std::string Rule;
  std::unordered_map<std::string, std::string> Paths;
};

void checkOperations(const std::vector<OperationConfig> &Operations,
                     const std::string &ServicePath,
                     std::vector<JsonFault> &Faults) {
  for (std::size_t Later = 1; Later < Operations.size(); ++Later) {
    for (std::size_t Earlier = 0; Earlier < Later; ++Earlier) {
      if (Operations[Earlier].Method != Operations[Later].Method ||
          Operations[Earlier].PathPrefix.empty() ||
          !Operations[Later].PathPrefix.starts_with(
              Operations[Earlier].PathPrefix))
        continue;
      const std::string List = ServicePath + ".operations";
      Faults.push_back({indexed(List, Later) + ".path_prefix",
                        quoted(Operations[Later].PathPrefix),
                        "a prefix that " + indexed(List, Earlier) +
                            " does not cover, because the first match "
                            "decides; move the longer prefix up"});
      break;
    }
  }
}

void checkTarget(const TargetConfig &Target, std::uint32_t HostsMaximum,
                 const std::string &TargetPath,
                 std::vector<JsonFault> &Faults) {
  // Hosts divide a target's connections without coordination, so with fewer
  // connections than hosts, some host would have none.
  if (Target.MaxConnections < HostsMaximum)
    Faults.push_back({TargetPath + ".max_connections",
                      std::to_string(Target.MaxConnections),
                      "at least " + std::to_string(HostsMaximum) +
                          ", one for each of hosts_maximum"});
  if (Target.MaxConnections < Target.Slots)
    Faults.push_back({TargetPath + ".max_connections",
                      std::to_string(Target.MaxConnections),
                      "at least " + std::to_string(Target.Slots) +
                          ", one for each of slots"});
}

void checkTimes(const ServiceConfig &Service, const std::string &ServicePath,
                std::vector<JsonFault> &Faults) {
  if (Service.DefaultTimeout > Service.MaximumTimeout)
    Faults.push_back({ServicePath + ".default_timeout_ms",
                      milliseconds(Service.DefaultTimeout),
                      "at most maximum_timeout_ms, which is " +
                          milliseconds(Service.MaximumTimeout)});
  if (Service.Hedge.Enabled &&
      Service.Hedge.MinimumDelay >= Service.MaximumTimeout)
    Faults.push_back({ServicePath + ".hedge.minimum_delay_ms",
                      milliseconds(Service.Hedge.MinimumDelay),
                      "less than maximum_timeout_ms, which is " +
                          milliseconds(Service.MaximumTimeout) +
                          "; or set hedge.enabled to false"});
}

} // namespace

std::vector<JsonFault> checkManifest(const Manifest &Manifest) {
  std::vector<JsonFault> Faults;
  FirstUses Names("a unique name for each service");
  // Ids and addresses must be unique across all services. Crash evidence counts
  // distinct target ids, and a target that is listed twice would get twice as
  // many requests as its slots allow.
  FirstUses Ids("a unique id for each target");
  FirstUses Addresses("a unique address for each target");
  for (std::size_t Index = 0; Index < Manifest.Services.size(); ++Index) {
    const ServiceConfig &Service = Manifest.Services[Index];
    const std::string ServicePath = indexed("services", Index);
    Names.add(Service.Name.Value, ServicePath + ".name", Faults);
    checkOperations(Service.Operations, ServicePath, Faults);
    checkTimes(Service, ServicePath, Faults);
    if (Service.Targets.empty())
      Faults.push_back({ServicePath + ".targets", "an array of 0",
                        "at least one target; or remove the service"});
    for (std::size_t Position = 0; Position < Service.Targets.size();
         ++Position) {
      const TargetConfig &Target = Service.Targets[Position];
      const std::string TargetPath =
          indexed(ServicePath + ".targets", Position);
      Ids.add(Target.Id.Value, TargetPath + ".id", Faults);
      if (!Target.Address.Address.empty())
        Addresses.add(formatEndpoint(Target.Address), TargetPath + ".address",
                      Faults);
      checkTarget(Target, Manifest.HostsMaximum, TargetPath, Faults);
    }
  }
  return Faults;
}

} // namespace comfreyrill
