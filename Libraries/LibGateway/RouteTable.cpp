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
  // An IPv6 address in brackets contains colons that do not begin a port.
  if (!Host.empty() && Host.front() == '[')
    return Host.substr(0, Host.find(']') + 1);
  return Host.substr(0, Host.find(':'));
}

} // namespace

const Route *findRoute(const Configuration &Active, std::string_view Host,
                       std::string_view Path) {
  const std::string_view Name = withoutPort(Host);
  const std::string_view PathWithoutQuery = Path.substr(0, Path.find('?'));
  const Route *Best = nullptr;
  for (const Route &Candidate : Active.Routes)
    if (equalsIgnoringCase(Candidate.Host, Name) &&
        PathWithoutQuery.substr(0, Candidate.PathPrefix.size()) ==
            Candidate.PathPrefix &&
        (Best == nullptr ||
         Candidate.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Candidate;
  return Best;
}

std::vector<double> serviceShares(const Route &Selected) {
  double Total = 0;
  for (const WeightedService &Weighted : Selected.Services)
    Total += std::max(Weighted.Weight, 0.0);
  std::vector<double> Shares;
  for (const WeightedService &Weighted : Selected.Services)
    Shares.push_back(Total > 0 ? std::max(Weighted.Weight, 0.0) / Total : 0);
  return Shares;
}

const ServiceName *chooseService(const Route &Selected, Random &Generator) {
  const auto Drawn = randomByWeight(
      Generator, Selected.Services,
      [](const WeightedService &Weighted) { return Weighted.Weight; });
  return Drawn == Selected.Services.end() ? nullptr : &Drawn->Service;
}

const ServiceDescription *findService(const Configuration &Active,
                                      const ServiceName &Name) {
  const auto Position =
      std::find_if(Active.Services.begin(), Active.Services.end(),
                   [&](const ServiceDescription &Candidate) {
                     return Candidate.Name == Name;
                   });
  return Position == Active.Services.end() ? nullptr : &*Position;
}

const ClientAccount *findAccountByName(const Configuration &Active,
                                       const AccountName &Name) {
  if (!Active.Accounts)
    return nullptr;
  const auto Position = std::find_if(
      Active.Accounts->begin(), Active.Accounts->end(),
      [&](const ClientAccount &Known) { return Known.Name == Name; });
  return Position == Active.Accounts->end() ? nullptr : &*Position;
}

} // namespace comfreyrill
