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

/// Bounds on a document, checked before any field is read.
struct JsonLimits {
  std::size_t Bytes = std::size_t{1024} * 1024;
  std::size_t Depth = 32;
};

/// One fault of a document.
struct JsonFault {
  /// Place in the document, for example "services[2].targets[0].slots"; empty
  /// for the document as a whole.
  std::string Path;
  std::string Found;
  std::string Allowed;

  bool operator==(const JsonFault &) const = default;
};

/// "PATH: found FOUND, allowed: ALLOWED".
std::string formatFault(const JsonFault &Fault);

/// One InvalidInput error that lists the faults, one a line. What names the
/// document, for example "manifest". At least one fault must be given.
Error faultsToError(const std::vector<JsonFault> &Faults,
                    std::string_view What);

/// A field that a reader has asked for, whether present or not.
struct JsonFieldDescription {
  /// Place without indices, for example "services[].targets[].slots".
  std::string Pattern;
  /// What is allowed, as in faults.
  std::string Allowed;
  bool Required = false;
};

/// What to do with fields that no reader asked for. Ignore them in answers of
/// processes that may run another version; refuse them in what people write.
enum class UnknownFields { Refuse, Ignore };

/// A JSON text and the faults found in it so far. Text that is no JSON, is too
/// large or too deep, or repeats a field has faults from the start; reading it
/// then yields nothing and is safe. Readers refer to the document, which must
/// outlive them and stays where it is.
class JsonDocument {
public:
  explicit JsonDocument(std::string_view Text, const JsonLimits &Limits = {});
  JsonDocument(const JsonDocument &) = delete;
  JsonDocument &operator=(const JsonDocument &) = delete;

  /// Reader of the outermost value.
  JsonReader root();

  /// Adds a fault that a reader cannot know of, such as a cross check.
  void addFault(JsonFault Fault);

  /// Reports each field that no reader asked for, unless they are ignored, then
  /// returns all faults as one error. Call it once, after everything has been
  /// read. The kind is TooLarge for a text above the size limit and
  /// InvalidInput otherwise.
  Result<void> finish(std::string_view What,
                      UnknownFields Policy = UnknownFields::Refuse);

  /// Faults so far; those for unknown fields are added by finish.
  const std::vector<JsonFault> &faults() const { return Faults; }

  /// Keeps a description of each field that readers ask for from now on, so
  /// that a reference page can be checked against the code that reads.
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
  bool IsUsable = false;
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
