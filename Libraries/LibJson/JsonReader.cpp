#include <LibJson/JsonReader.h>

#include <LibCore/Hash.h>
#include <LibJson/JsonText.h>
#include <LibJson/NearestName.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cmath>

namespace comfreyrill {

namespace json = boost::json;

namespace {

constexpr std::size_t MaximumShownBytes = 60;

std::string shortened(std::string Text) {
  if (Text.size() <= MaximumShownBytes)
    return Text;
  // Truncating within a UTF-8 sequence would make the message invalid UTF-8.
  std::size_t End = MaximumShownBytes;
  while (End > 0 && (static_cast<unsigned char>(Text[End]) & 0xC0) == 0x80)
    --End;
  return Text.substr(0, End) + "...";
}

std::string describeValue(const json::value &Value) {
  switch (Value.kind()) {
  case json::kind::object:
    return "an object";
  case json::kind::array:
    return "an array of " + std::to_string(Value.get_array().size());
  case json::kind::string:
    return shortened(json::serialize(Value));
  case json::kind::double_:
    return numberText(Value.get_double());
  default:
    return json::serialize(Value);
  }
}

double milliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

std::string range(const std::string &Minimum, const std::string &Maximum) {
  return "from " + Minimum + " to " + Maximum;
}

std::string countRange(std::size_t Minimum, std::size_t Maximum) {
  return std::to_string(Minimum) + " to " + std::to_string(Maximum);
}

bool isIdentifierCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '.' ||
         Character == '-' || Character == '_';
}

} // namespace

JsonReader JsonReader::required(std::string_view Name) {
  return field(Name, true);
}

JsonReader JsonReader::optional(std::string_view Name) {
  return field(Name, false);
}

JsonReader JsonReader::field(std::string_view Name, bool FieldIsRequired) {
  JsonReader Field(*Document, nullptr,
                   Path + (Path.empty() ? "" : ".") + std::string(Name),
                   FieldIsRequired);
  if (!object()) {
    // Either the fault of the object has been reported, or the object is
    // optional and absent, so that an absent field is not a fault either.
    Field.IsReported = true;
    return Field;
  }
  const json::object &Object = Value->get_object();
  Document->Visited.at(&Object).Known.emplace_back(Name);
  Field.Value = Object.if_contains(json::string_view(Name.data(), Name.size()));
  return Field;
}

bool JsonReader::object() {
  if (!begin("an object"))
    return false;
  const json::object *Object = Value->if_object();
  if (!Object)
    return fail("an object");
  if (Document->Visited.try_emplace(Object).second) {
    Document->Visited.at(Object).Path = Path;
    Document->VisitOrder.push_back(Object);
  }
  return true;
}

bool JsonReader::array(
    std::size_t MinimumCount, std::size_t MaximumCount,
    const std::function<void(JsonReader Element)> &ReadElement) {
  std::string Allowed = "an array";
  if (MaximumCount != NoMaximum)
    Allowed += " of " + countRange(MinimumCount, MaximumCount) + " elements";
  else if (MinimumCount > 0)
    Allowed += " of at least " + std::to_string(MinimumCount);
  if (!begin(Allowed))
    return false;
  const json::array *Array = Value->if_array();
  if (!Array || Array->size() < MinimumCount || Array->size() > MaximumCount)
    return fail(Allowed);
  for (std::size_t Index = 0; Index < Array->size(); ++Index)
    ReadElement(JsonReader(*Document, &(*Array)[Index],
                           Path + "[" + std::to_string(Index) + "]", true));
  return true;
}

bool JsonReader::string(std::string &Out, std::size_t MinimumBytes,
                        std::size_t MaximumBytes) {
  return matchingText(
      Out, "a string of " + countRange(MinimumBytes, MaximumBytes) + " bytes",
      [&](std::string_view Text) {
        return Text.size() >= MinimumBytes && Text.size() <= MaximumBytes;
      });
}

bool JsonReader::matchingText(
    std::string &Out, const std::string &Allowed,
    const std::function<bool(std::string_view Text)> &Accepts) {
  if (!begin(Allowed))
    return false;
  const json::string *Text = Value->if_string();
  if (!Text || !Accepts(std::string_view(Text->data(), Text->size())))
    return fail(Allowed);
  Out.assign(Text->data(), Text->size());
  return true;
}

bool JsonReader::identifierText(std::string &Out) {
  return matchingText(
      Out, "a name of 1 to 64 letters, digits, '.', '-' and '_'",
      [](std::string_view Text) {
        return !Text.empty() && Text.size() <= 64 &&
               std::all_of(Text.begin(), Text.end(), isIdentifierCharacter);
      });
}

bool JsonReader::integerValue(std::uint64_t &Out, std::uint64_t Minimum,
                              std::uint64_t Maximum) {
  const std::string Allowed =
      "an integer " + range(std::to_string(Minimum), std::to_string(Maximum));
  if (!begin(Allowed))
    return false;
  std::uint64_t Wide = 0;
  if (Value->is_uint64())
    Wide = Value->get_uint64();
  else if (Value->is_int64() && Value->get_int64() >= 0)
    Wide = static_cast<std::uint64_t>(Value->get_int64());
  else
    return fail(Allowed);
  if (Wide < Minimum || Wide > Maximum)
    return fail(Allowed);
  Out = Wide;
  return true;
}

bool JsonReader::number(double &Out, double Minimum, double Maximum) {
  const std::string Allowed =
      "a number " + range(numberText(Minimum), numberText(Maximum));
  if (!begin(Allowed))
    return false;
  if (!Value->is_number())
    return fail(Allowed);
  const auto Wide = Value->to_number<double>();
  if (!(Wide >= Minimum && Wide <= Maximum))
    return fail(Allowed);
  Out = Wide;
  return true;
}

bool JsonReader::boolean(bool &Out) {
  const std::string Allowed = "true or false";
  if (!begin(Allowed))
    return false;
  if (!Value->is_bool())
    return fail(Allowed);
  Out = Value->get_bool();
  return true;
}

bool JsonReader::duration(Duration &Out, Duration Minimum, Duration Maximum) {
  const std::string Allowed =
      "milliseconds " + range(numberText(milliseconds(Minimum)),
                              numberText(milliseconds(Maximum)));
  if (!begin(Allowed))
    return false;
  if (!Value->is_number())
    return fail(Allowed);
  const auto Wide = Value->to_number<double>();
  // The range is checked before the conversion to an integer, which is
  // undefined for numbers out of its range.
  if (!(Wide >= milliseconds(Minimum) && Wide <= milliseconds(Maximum)))
    return fail(Allowed);
  Out = Duration(std::llround(Wide * 1e6));
  return true;
}

bool JsonReader::endpoint(Endpoint &Out, std::uint16_t MinimumPort) {
  const std::string Allowed = "an IP number and a port from " +
                              std::to_string(MinimumPort) +
                              " to 65535, for example \"127.0.0.1:7001\"";
  if (!begin(Allowed))
    return false;
  const json::string *Text = Value->if_string();
  if (!Text)
    return fail(Allowed);
  auto Parsed = parseEndpoint(std::string_view(Text->data(), Text->size()));
  if (!Parsed || Parsed.value().Port < MinimumPort)
    return fail(Allowed);
  Out = std::move(Parsed.value());
  return true;
}

bool JsonReader::nameIndex(std::size_t &Out,
                           const std::vector<std::string_view> &Names) {
  std::string Allowed;
  for (const std::string_view Name : Names) {
    Allowed += Allowed.empty() ? "\"" : " or \"";
    Allowed += Name;
    Allowed += '"';
  }
  if (!begin(Allowed))
    return false;
  const json::string *Text = Value->if_string();
  if (!Text)
    return fail(Allowed);
  const std::string_view Found(Text->data(), Text->size());
  const auto Position = std::find(Names.begin(), Names.end(), Found);
  if (Position == Names.end()) {
    const std::string_view Nearest = nearestName(Found, Names);
    if (!Nearest.empty())
      Allowed += " (did you mean \"" + std::string(Nearest) + "\"?)";
    return fail(Allowed);
  }
  Out = static_cast<std::size_t>(Position - Names.begin());
  return true;
}

bool JsonReader::begin(const std::string &Allowed) {
  if (Document->RecordsFields)
    Document->describe(Path, Allowed, IsRequired);
  if (Value)
    return true;
  return IsRequired ? fail(Allowed) : false;
}

bool JsonReader::fail(std::string Allowed) {
  if (!IsReported)
    addFault(std::move(Allowed));
  IsReported = true;
  return false;
}

void JsonReader::addFault(std::string Allowed) const {
  Document->addFault(
      {Path, Value ? describeValue(*Value) : "nothing", std::move(Allowed)});
}

bool JsonReader::hexadecimalNumber(std::uint64_t &Out) {
  std::string Text;
  return matchingText(Text, "16 hexadecimal digits",
                      [&](std::string_view Digits) {
                        const auto Parsed = parseHexadecimal(Digits);
                        Out = Parsed.value_or(Out);
                        return Parsed.has_value();
                      });
}

} // namespace comfreyrill
