#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace comfreyrill {

/// Digest of an access key. Keys themselves are not kept, so that they appear
/// in no log, dump or message.
struct KeyDigest {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  bool operator==(const KeyDigest &) const = default;
};

struct KeyDigestHash {
  std::size_t operator()(const KeyDigest &Digest) const {
    return static_cast<std::size_t>(Digest.High);
  }
};

/// Index from the keys of a configuration to the positions of their accounts.
struct AccountKeys {
  std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> Accounts;
};

KeyDigest digestKey(std::string_view Key);

/// Adds a key. Returns false if an account has it already or it is empty.
bool addKey(AccountKeys &Keys, std::string_view Key, std::size_t Account);

/// Returns the position of the account that holds the key.
std::optional<std::size_t> findAccount(const AccountKeys &Keys,
                                       std::string_view Key);

} // namespace comfreyrill
