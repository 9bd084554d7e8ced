#pragma once

#include <LibCore/Result.h>

#include <map>
#include <memory>
#include <string>
#include <typeindex>

namespace comfreyrill {

/// Registry of the services of one process, by name and type. Only the
/// composition root looks services up; each service receives its dependencies
/// through its constructor.
class ServiceRegistry {
public:
  /// Registers a service. Fails with Conflict when the name is taken.
  template <typename Service>
  Result<void> add(const std::string &Name, std::shared_ptr<Service> Instance) {
    auto [Position, Inserted] =
        Entries.emplace(Name, Entry{typeid(Service), std::move(Instance)});
    if (!Inserted)
      return Error{ErrorKind::Conflict, "service " + Position->first +
                                            " is already registered; "
                                            "choose another name"};
    return outcome::success();
  }

  /// Finds a service. Fails with NotFound when no service has the name, and
  /// with InvalidInput when it has another type.
  template <typename Service>
  Result<std::shared_ptr<Service>> find(const std::string &Name) const {
    auto Position = Entries.find(Name);
    if (Position == Entries.end())
      return Error{ErrorKind::NotFound,
                   "no service " + Name +
                       "; register it before the services that use it"};
    if (Position->second.Type != typeid(Service))
      return Error{ErrorKind::InvalidInput,
                   "service " + Name +
                       " has another type; use the type it was added with"};
    return std::static_pointer_cast<Service>(Position->second.Instance);
  }

private:
  struct Entry {
    std::type_index Type;
    std::shared_ptr<void> Instance;
  };
  std::map<std::string, Entry> Entries;
};

} // namespace comfreyrill
