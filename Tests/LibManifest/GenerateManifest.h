#pragma once

#include <LibManifest/Manifest.h>

#include <rapidcheck.h>

namespace comfreyrill {

inline TargetConfig generateTarget(std::uint32_t Unique) {
  TargetConfig Target;
  Target.Id = TargetId("t" + std::to_string(Unique));
  Target.Address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + Unique)};
  Target.Domain = FailureDomain(*rc::gen::element<std::string>("a", "b"));
  Target.Slots = *rc::gen::inRange<std::uint32_t>(1, 20);
  Target.MaxConnections = *rc::gen::inRange<std::uint32_t>(20, 400);
  return Target;
}

/// A valid manifest in which any field may differ from its default.
inline Manifest generateManifest() {
  Manifest Out;
  Out.HostsMaximum = *rc::gen::inRange<std::uint32_t>(1, 20);
  const auto Services = *rc::gen::inRange<std::uint32_t>(1, 4);
  std::uint32_t Unique = 0;
  for (std::uint32_t Index = 0; Index < Services; ++Index) {
    ServiceConfig Service;
    Service.Name = ServiceName("s" + std::to_string(Index));
    if (*rc::gen::arbitrary<bool>())
      Service.Operations.push_back({"POST", "/a\"\\b", true});
    const auto Targets = *rc::gen::inRange<std::uint32_t>(1, 4);
    for (std::uint32_t Target = 0; Target < Targets; ++Target)
      Service.Targets.push_back(generateTarget(Unique++));
    const auto Thousandths = [] { return *rc::gen::inRange(1, 1000) / 1000.0; };
    Service.QueueLength = *rc::gen::inRange<std::uint32_t>(0, 99);
    Service.FairShare = *rc::gen::inRange(10, 5000) / 1000.0;
    Service.Retry = {Thousandths(), *rc::gen::inRange<std::uint32_t>(1, 10)};
    Service.Hedge = {*rc::gen::arbitrary<bool>(), Thousandths(), 0.5,
                     std::chrono::microseconds(*rc::gen::inRange(0, 60'000))};
    Service.LoadProbing = {*rc::gen::inRange(0, 1000) / 10.0,
                           *rc::gen::inRange(0, 1000) / 8.0};
    Service.DefaultTimeout =
        std::chrono::milliseconds(*rc::gen::inRange(60, 60'000));
    if (*rc::gen::arbitrary<bool>())
      Service.Witness = WitnessPlacement::OtherDomain;
    Out.Services.push_back(std::move(Service));
  }
  return Out;
}

} // namespace comfreyrill
