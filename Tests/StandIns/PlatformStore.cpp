#include "PlatformStore.h"

#include <algorithm>

namespace comfreyrill::standins {

namespace {

constexpr std::size_t KeptVersions = 8;

} // namespace

UpdateResult PlatformStore::update(const std::string &Key, std::string Value,
                                   const UpdateCondition &Condition) {
  const ObjectVersion *Current = find(Key);
  const std::uint64_t Version = Current == nullptr ? 0 : Current->Version;
  if (Condition.MustBeAbsent && Current != nullptr)
    return {false, Version};
  if (Condition.IfVersion &&
      (Current == nullptr || *Condition.IfVersion != Version))
    return {false, Version};
  auto &Versions = Objects[Key];
  Versions.push_back({Version + 1, std::move(Value)});
  if (Versions.size() > KeptVersions)
    Versions.erase(Versions.begin());
  return {true, Version + 1};
}

const ObjectVersion *PlatformStore::find(const std::string &Key) const {
  return findStale(Key, 0);
}

const ObjectVersion *PlatformStore::findStale(const std::string &Key,
                                              std::size_t VersionsBack) const {
  const auto Position = Objects.find(Key);
  if (Position == Objects.end())
    return nullptr;
  const auto &Versions = Position->second;
  return &Versions[Versions.size() - 1 -
                   std::min(VersionsBack, Versions.size() - 1)];
}

} // namespace comfreyrill::standins
