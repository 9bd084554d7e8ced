#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace comfreyrill {

/// String identifier with a tag type, so that the compiler rejects an
/// identifier of another kind.
template <typename Tag> struct Identifier {
  std::string Value;

  Identifier() = default;
  explicit Identifier(std::string Text) : Value(std::move(Text)) {}
  // Written out because clang-tidy reports names inside a defaulted <=>.
  bool operator==(const Identifier &Other) const {
    return Value == Other.Value;
  }
  std::strong_ordering operator<=>(const Identifier &Other) const {
    return Value <=> Other.Value;
  }
};

/// Number with a tag type, so that the compiler rejects a number of another
/// kind.
template <typename Tag> struct Number {
  std::uint64_t Value = 0;

  bool operator==(const Number &Other) const { return Value == Other.Value; }
  std::strong_ordering operator<=>(const Number &Other) const {
    return Value <=> Other.Value;
  }
};

using TargetId = Identifier<struct TargetIdTag>;
using ServiceName = Identifier<struct ServiceNameTag>;
using HostId = Identifier<struct HostIdTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
using RequestId = Identifier<struct RequestIdTag>;
/// Name of a client account, an organisation whose callers share keys and an
/// allotment.
using AccountName = Identifier<struct AccountNameTag>;

/// Revision of the manifest; incremented by one for each accepted manifest. 0
/// means no manifest.
using ManifestNumber = Number<struct ManifestNumberTag>;
/// Random number drawn when a host process starts; tells apart successive
/// processes of the same host.
using HostIncarnation = Number<struct HostIncarnationTag>;

} // namespace comfreyrill

template <typename Tag> struct std::hash<comfreyrill::Identifier<Tag>> {
  std::size_t operator()(const comfreyrill::Identifier<Tag> &Id) const {
    return std::hash<std::string>{}(Id.Value);
  }
};

template <typename Tag> struct std::hash<comfreyrill::Number<Tag>> {
  std::size_t operator()(const comfreyrill::Number<Tag> &Id) const {
    return std::hash<std::uint64_t>{}(Id.Value);
  }
};
