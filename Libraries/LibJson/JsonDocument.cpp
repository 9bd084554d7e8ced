#include <LibJson/JsonDocument.h>
#include <LibJson/JsonReader.h>
#include <LibJson/NearestName.h>
#include <LibJson/RepeatedFields.h>

#include <algorithm>
#include <boost/json/stream_parser.hpp>

namespace comfreyrill {

namespace json = boost::json;

namespace {

// Faults above this limit are only counted, so that a malicious file cannot
// exhaust memory. An operator does not read more than this at once.
constexpr std::size_t MaximumFaults = 100;

std::string position(std::string_view Text, std::size_t Offset) {
  const std::string_view Before = Text.substr(0, Offset);
  const auto Line = std::count(Before.begin(), Before.end(), '\n') + 1;
  const std::size_t LineStart = Before.rfind('\n');
  const std::size_t Column =
      LineStart == std::string_view::npos ? Offset + 1 : Offset - LineStart;
  return "line " + std::to_string(Line) + ", column " + std::to_string(Column);
}

std::string withoutIndices(std::string_view Path) {
  std::string Pattern;
  bool InIndex = false;
  for (const char Character : Path) {
    if (Character == ']')
      InIndex = false;
    if (!InIndex)
      Pattern += Character;
    if (Character == '[')
      InIndex = true;
  }
  return Pattern;
}

} // namespace

std::string formatFault(const JsonFault &Fault) {
  const std::string Prefix = Fault.Path.empty() ? "" : Fault.Path + ": ";
  return Prefix + "found " + Fault.Found + ", allowed: " + Fault.Allowed;
}

Error faultsToError(const std::vector<JsonFault> &Faults,
                    std::string_view DocumentName) {
  std::string Message = "the " + std::string(DocumentName) + " has ";
  Message += Faults.size() == 1 ? "1 fault"
                                : std::to_string(Faults.size()) + " faults";
  Message += "; correct each and try again";
  for (const JsonFault &Fault : Faults)
    Message += "\n  " + formatFault(Fault);
  return Error{ErrorKind::InvalidInput, std::move(Message)};
}

JsonDocument::JsonDocument(std::string_view Text, const JsonLimits &Limits) {
  if (Text.size() > Limits.Bytes) {
    IsTooLarge = true;
    addFault({"", std::to_string(Text.size()) + " bytes",
              "at most " + std::to_string(Limits.Bytes) + " bytes"});
    return;
  }
  parse(Text, Limits);
}

void JsonDocument::parse(std::string_view Text, const JsonLimits &Limits) {
  json::parse_options Options;
  Options.max_depth = Limits.Depth;
  json::stream_parser Parser({}, Options);
  json::error_code Code;
  const std::size_t Consumed =
      Parser.write_some(Text.data(), Text.size(), Code);
  if (!Code && Consumed < Text.size())
    Code = json::error::extra_data;
  if (!Code)
    Parser.finish(Code);
  if (Code) {
    const bool IsTooDeep = Code == json::error::too_deep;
    addFault({"", Code.message() + " at " + position(Text, Consumed),
              IsTooDeep ? "objects and arrays nested at most " +
                              std::to_string(Limits.Depth) + " deep"
                        : "one JSON value in UTF-8"});
    return;
  }
  for (std::string &Path : repeatedFields(Text, Options))
    addFault({std::move(Path), "the field more than once", "the field once"});
  Value = Parser.release();
  IsParsed = true;
}

JsonReader JsonDocument::root() {
  JsonReader Root(*this, IsParsed ? &Value : nullptr, "", true);
  // The constructor has already reported why there is no value.
  Root.IsReported = !IsParsed;
  return Root;
}

void JsonDocument::addFault(JsonFault Fault) {
  if (Faults.size() < MaximumFaults)
    Faults.push_back(std::move(Fault));
  else
    ++FaultsBeyondLimit;
}

Result<void> JsonDocument::finish(std::string_view DocumentName,
                                  UnknownFields Policy) {
  if (Policy == UnknownFields::Refuse)
    reportUnknownFields();
  if (Faults.empty())
    return outcome::success();
  Error Cause = faultsToError(Faults, DocumentName);
  if (FaultsBeyondLimit > 0)
    Cause.Message += "\n  and " + std::to_string(FaultsBeyondLimit) + " more";
  if (IsTooLarge)
    Cause.Kind = ErrorKind::TooLarge;
  return Cause;
}

void JsonDocument::reportUnknownFields() {
  for (const json::object *Object : VisitOrder) {
    const VisitedObject &Visit = Visited.at(Object);
    std::vector<std::string_view> Known(Visit.Known.begin(), Visit.Known.end());
    for (const json::key_value_pair &Field : *Object) {
      const std::string_view Name(Field.key().data(), Field.key().size());
      if (std::find(Known.begin(), Known.end(), Name) != Known.end())
        continue;
      std::string Allowed;
      for (const std::string_view KnownName : Known)
        Allowed += (Allowed.empty() ? "" : ", ") + std::string(KnownName);
      const std::string_view Nearest = nearestName(Name, Known);
      if (!Nearest.empty())
        Allowed = "'" + std::string(Nearest) + "' is the nearest of " + Allowed;
      addFault({Visit.Path + (Visit.Path.empty() ? "" : ".") +
                    std::string(Name.substr(0, 64)),
                "an unknown field", std::move(Allowed)});
    }
  }
}

void JsonDocument::describe(const std::string &Path, std::string Allowed,
                            bool Required) {
  std::string Pattern = withoutIndices(Path);
  for (const JsonFieldDescription &Field : Fields)
    if (Field.Pattern == Pattern)
      return;
  Fields.push_back({std::move(Pattern), std::move(Allowed), Required});
}

} // namespace comfreyrill
