#include <LibGateway/ArrivalExplanation.h>

#include <LibGateway/Admission.h>
#include <LibGateway/RouteTable.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusUnavailable = 503;

} // namespace

ArrivalExplanation explainArrival(const Configuration *Active,
                                  const ExplainedRequest &Request) {
  ArrivalExplanation Result;
  if (Active == nullptr) {
    Result.Refusal = {StatusUnavailable, "no_configuration",
                      RetryWithoutConfiguration};
    return Result;
  }
  if (Request.BodyBytes > Active->Limits.BodyBytes) {
    Result.Refusal = {StatusTooLarge, "body_too_large", std::nullopt};
    return Result;
  }
  Result.Matched = findRoute(*Active, Request.Host, Request.Path);
  if (Result.Matched == nullptr) {
    Result.Refusal = {StatusNotFound, "no_route", std::nullopt};
    return Result;
  }
  if (Request.Account) {
    Result.Account = findAccountByName(*Active, *Request.Account);
    if (Result.Account == nullptr)
      Result.Refusal = {StatusUnauthorized, "unknown_account", std::nullopt};
    return Result;
  }
  const Authorization Checked =
      authorize(*Active, *Result.Matched, Request.Key);
  Result.Account = Checked.Account;
  if (Checked.Verdict != AuthorizationVerdict::Allowed)
    Result.Refusal = {StatusUnauthorized,
                      Checked.Verdict == AuthorizationVerdict::MissingKey
                          ? "missing_key"
                          : "unknown_key",
                      std::nullopt};
  return Result;
}

std::optional<std::size_t> mainService(const Route &Matched) {
  const std::vector<double> Shares = serviceShares(Matched);
  const auto Largest = std::max_element(Shares.begin(), Shares.end());
  if (Largest == Shares.end() || *Largest <= 0)
    return std::nullopt;
  return static_cast<std::size_t>(Largest - Shares.begin());
}

} // namespace comfreyrill
