#pragma once

#include <LibCore/Result.h>

#include <boost/json/value.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreyrill {

class JsonReader;

/// Limits on the size and nesting of a document, checked before any field is
/// read.
struct JsonLimits {
  std::size_t Bytes = std::size_t{1024} * 1024;
  std::size_t Depth = 32;
};

/// One fault of a document.
struct JsonFault {
  /// Path in the document, for example "services[2].targets[0].slots"; empty
  /// for the document as a whole.
  std::string Path;
  std::string Found;
  std::string Allowed;

  bool operator==(const JsonFault &) const = default;
};

/// Formats a fault as "PATH: found FOUND, allowed: ALLOWED".
std::string formatFault(const JsonFault &Fault);

/// Returns one InvalidInput error that lists the faults, one per line.
/// DocumentName appears in the message, for example "manifest". At least one
/// fault must be given.
Error faultsToError(const std::vector<JsonFault> &Faults,
                    std::string_view DocumentName);

/// Description of a field that a reader has requested, also if it was absent.
struct JsonFieldDescription {
  /// Path without indices, for example "services[].targets[].slots".
  std::string Pattern;
  /// Allowed values, in the wording of JsonFault::Allowed.
  std::string Allowed;
  bool Required = false;
};

/// Treatment of fields that no reader has requested. Ignore them in responses
/// of processes that may run another version; refuse them in files that people
/// write.
enum class UnknownFields { Refuse, Ignore };

/// A parsed JSON text and the faults found in it so far. The constructor adds a
/// fault for text that is not JSON, is too large or too deeply nested, or
/// repeats a field. Unless repeated fields are the only fault, no value is then
/// available and all reads return false. Readers keep a pointer to the
/// document, which must outlive them and cannot be copied or moved.
class JsonDocument {
public:
  explicit JsonDocument(std::string_view Text, const JsonLimits &Limits = {});
  JsonDocument(const JsonDocument &) = delete;
  JsonDocument &operator=(const JsonDocument &) = delete;

  /// Returns a reader for the outermost value.
  JsonReader root();

  /// Adds a fault that no single reader can detect, for example one that
  /// involves several fields.
  void addFault(JsonFault Fault);

  /// Adds a fault for each field that no reader has requested, unless Policy is
  /// Ignore, and returns all faults as one error. Call this once, after
  /// everything has been read. The error kind is TooLarge for a text above the
  /// size limit and InvalidInput otherwise.
  Result<void> finish(std::string_view DocumentName,
                      UnknownFields Policy = UnknownFields::Refuse);

  /// Faults found so far; finish() adds those for unknown fields.
  const std::vector<JsonFault> &faults() const { return Faults; }

  /// Records a description of each field that readers request from now on, so
  /// that reference documentation can be checked against the code.
  void recordFields() { RecordsFields = true; }
  const std::vector<JsonFieldDescription> &fields() const { return Fields; }

private:
  friend class JsonReader;

  struct VisitedObject {
    std::string Path;
    std::vector<std::string> Known;
  };

  void parse(std::string_view Text, const JsonLimits &Limits);
  void reportUnknownFields();
  void describe(const std::string &Path, std::string Allowed, bool Required);

  boost::json::value Value;
  bool IsParsed = false;
  bool IsTooLarge = false;
  std::vector<JsonFault> Faults;
  std::size_t FaultsBeyondLimit = 0;
  /// Objects in the order in which they were first read.
  std::vector<const boost::json::object *> VisitOrder;
  std::unordered_map<const boost::json::object *, VisitedObject> Visited;
  bool RecordsFields = false;
  std::vector<JsonFieldDescription> Fields;
};

} // namespace comfreyrill
