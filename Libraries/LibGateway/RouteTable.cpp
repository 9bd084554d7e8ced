#include <LibGateway/RouteTable.h>

#include <algorithm>
#include <cctype>

namespace comfreyrill {

namespace {

bool equalsIgnoringCase(std::string_view One, std::string_view Other) {
  return std::equal(One.begin(), One.end(), Other.begin(), Other.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

std::string_view withoutPort(std::string_view Host) {
  // An IPv6 address in brackets holds colons of its own.
  if (!Host.empty() && Host.front() == '[')
    return Host.substr(0, Host.find(']') + 1);
  return Host.substr(0, Host.find(':'));
}

} // namespace

const Route *findRoute(const Configuration &InForce, std::string_view Host,
                       std::string_view Path) {
  const std::string_view Name = withoutPort(Host);
  const std::string_view Plain = Path.substr(0, Path.find('?'));
  const Route *Best = nullptr;
  for (const Route &Candidate : InForce.Routes)
    if (equalsIgnoringCase(Candidate.Host, Name) &&
        Plain.substr(0, Candidate.PathPrefix.size()) == Candidate.PathPrefix &&
        (Best == nullptr ||
         Candidate.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Candidate;
  return Best;
}

const ServiceName *chooseService(const Route &Chosen, Random &Generator) {
  double Total = 0;
  for (const WeightedService &Part : Chosen.Services)
    Total += std::max(Part.Weight, 0.0);
  if (Total <= 0)
    return nullptr;
  double Position = std::uniform_real_distribution<double>(0, Total)(Generator);
  const ServiceName *Last = nullptr;
  for (const WeightedService &Part : Chosen.Services) {
    if (Part.Weight <= 0)
      continue;
    Last = &Part.Service;
    Position -= Part.Weight;
    if (Position < 0)
      break;
  }
  return Last;
}

const ServiceDescription *findService(const Configuration &InForce,
                                      const ServiceName &Name) {
  const auto Position =
      std::find_if(InForce.Services.begin(), InForce.Services.end(),
                   [&](const ServiceDescription &Candidate) {
                     return Candidate.Name == Name;
                   });
  return Position == InForce.Services.end() ? nullptr : &*Position;
}

} // namespace comfreyrill
