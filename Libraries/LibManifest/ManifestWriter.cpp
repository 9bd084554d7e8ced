#include <LibManifest/ManifestWriter.h>

#include <LibJson/JsonText.h>

namespace comfreyrill {

namespace json = boost::json;

namespace {

json::value milliseconds(Duration Time) {
  if (Time % std::chrono::milliseconds(1) == Duration{0})
    return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
  return std::chrono::duration<double, std::milli>(Time).count();
}

json::value targetToJson(const TargetConfig &Target) {
  return json::object{{"id", Target.Id.Value},
                      {"address", formatEndpoint(Target.Address)},
                      {"failure_domain", Target.Domain.Value},
                      {"slots", Target.Slots},
                      {"max_connections", Target.MaxConnections}};
}

json::value operationToJson(const OperationConfig &Operation) {
  return json::object{{"method", Operation.Method},
                      {"path_prefix", Operation.PathPrefix},
                      {"idempotent", Operation.Idempotent}};
}

json::value serviceToJson(const ServiceConfig &Service) {
  json::array Operations;
  for (const OperationConfig &Operation : Service.Operations)
    Operations.push_back(operationToJson(Operation));
  json::array Targets;
  for (const TargetConfig &Target : Service.Targets)
    Targets.push_back(targetToJson(Target));
  json::object Retry{{"budget_ratio", Service.Retry.BudgetRatio},
                     {"max_attempts", Service.Retry.MaxAttempts}};
  json::object Hedge{
      {"enabled", Service.Hedge.Enabled},
      {"budget_ratio", Service.Hedge.BudgetRatio},
      {"quantile", Service.Hedge.Quantile},
      {"minimum_delay_ms", milliseconds(Service.Hedge.MinimumDelay)}};
  json::object LoadProbing{
      {"probes_per_hundred_calls", Service.LoadProbing.ProbesPerHundredCalls},
      {"probes_per_second", Service.LoadProbing.ProbesPerSecond}};
  return json::object{
      {"name", Service.Name.Value},
      {"operations", std::move(Operations)},
      {"targets", std::move(Targets)},
      {"default_timeout_ms", milliseconds(Service.DefaultTimeout)},
      {"maximum_timeout_ms", milliseconds(Service.MaximumTimeout)},
      {"queue_length", Service.QueueLength},
      {"fair_share", Service.FairShare},
      {"retry", std::move(Retry)},
      {"hedge", std::move(Hedge)},
      {"measuring", std::move(LoadProbing)},
      {"witness", Service.Witness == WitnessPlacement::SameDomain
                      ? "same_domain"
                      : "other_domain"}};
}

} // namespace

json::value manifestToJson(const Manifest &Manifest) {
  json::array Services;
  for (const ServiceConfig &Service : Manifest.Services)
    Services.push_back(serviceToJson(Service));
  return json::object{
      {"hosts_maximum", Manifest.HostsMaximum},
      {"address_lifetime_ms", milliseconds(Manifest.AddressLifetime)},
      {"services", std::move(Services)}};
}

std::string formatManifest(const Manifest &Manifest) {
  return prettyJson(manifestToJson(Manifest));
}

} // namespace comfreyrill
