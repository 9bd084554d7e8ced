#include <LibGateway/Authorization.h>

namespace comfreyrill {

Authorization authorize(const Configuration &Active, const Route &Selected,
                        std::string_view Key) {
  Authorization Result;
  if (!Active.Accounts)
    return Result;
  if (const auto Position = findAccount(Active.Keys, Key))
    Result.Account = &(*Active.Accounts)[*Position];
  else if (!Selected.IsPublic)
    Result.Verdict = Key.empty() ? AuthorizationVerdict::MissingKey
                                 : AuthorizationVerdict::UnknownKey;
  return Result;
}

std::uint32_t effectivePriority(const Route &Selected,
                                const ClientAccount *Account) {
  return Account != nullptr && Account->Priority ? *Account->Priority
                                                 : Selected.Priority;
}

} // namespace comfreyrill
