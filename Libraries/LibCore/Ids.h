#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace comfreyrill {

/// A string that names one kind of thing, so that kinds cannot be mixed up.
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

/// A number that counts or marks one kind of thing.
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

/// Rises by one with each accepted manifest; 0 means none.
using ManifestNumber = Number<struct ManifestNumberTag>;
/// Random number drawn when a host process starts; it marks that process.
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
