#include <LibCore/Hash.h>
#include <LibGateway/AccountKeys.h>

namespace comfreyrill {

namespace {

// Two prefixes, so that the halves of a digest are independent hashes.
constexpr std::string_view HighPrefix = "account-key-high";
constexpr std::string_view LowPrefix = "account-key-low";

} // namespace

// The time of a lookup depends on the digest of the key, from which nothing
// about the stored keys can be learned.
KeyDigest digestKey(std::string_view Key) {
  return {stableHash({HighPrefix, Key}), stableHash({LowPrefix, Key})};
}

bool addKey(AccountKeys &Keys, std::string_view Key, std::size_t Account) {
  return !Key.empty() &&
         Keys.Accounts.try_emplace(digestKey(Key), Account).second;
}

std::optional<std::size_t> findAccount(const AccountKeys &Keys,
                                       std::string_view Key) {
  if (Key.empty())
    return std::nullopt;
  const auto Position = Keys.Accounts.find(digestKey(Key));
  if (Position == Keys.Accounts.end())
    return std::nullopt;
  return Position->second;
}

} // namespace comfreyrill
