#include <LibJson/JsonText.h>

#include <array>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace comfreyrill {

namespace json = boost::json;

namespace {

constexpr std::size_t MaximumLineBytes = 160;

void appendKey(std::string &Text, const json::key_value_pair &Field) {
  Text += json::serialize(json::string(Field.key()));
  Text += ": ";
}

void appendScalar(std::string &Text, const json::value &Value) {
  Text += Value.is_double() ? numberText(Value.get_double())
                            : json::serialize(Value);
}

void appendCompact(std::string &Text, const json::value &Value) {
  if (const json::object *Object = Value.if_object()) {
    Text += '{';
    for (const json::key_value_pair &Field : *Object) {
      Text += Text.back() == '{' ? "" : ", ";
      appendKey(Text, Field);
      appendCompact(Text, Field.value());
    }
    Text += '}';
  } else if (const json::array *Array = Value.if_array()) {
    Text += '[';
    for (const json::value &Element : *Array) {
      Text += Text.back() == '[' ? "" : ", ";
      appendCompact(Text, Element);
    }
    Text += ']';
  } else {
    appendScalar(Text, Value);
  }
}

bool hasNestedContainer(const json::value &Value) {
  if (const json::object *Object = Value.if_object()) {
    for (const json::key_value_pair &Field : *Object)
      if (Field.value().is_structured())
        return true;
  } else if (const json::array *Array = Value.if_array()) {
    for (const json::value &Element : *Array)
      if (Element.is_structured())
        return true;
  }
  return false;
}

void appendIndented(std::string &Text, const json::value &Value,
                    std::size_t Indent) {
  if (!hasNestedContainer(Value)) {
    std::string Line;
    appendCompact(Line, Value);
    if (Line.size() <= MaximumLineBytes || !Value.is_structured()) {
      Text += Line;
      return;
    }
  }
  const std::string Inner(Indent + 2, ' ');
  const char *Separator = "\n";
  if (const json::object *Object = Value.if_object()) {
    Text += '{';
    for (const json::key_value_pair &Field : *Object) {
      Text += Separator + Inner;
      appendKey(Text, Field);
      appendIndented(Text, Field.value(), Indent + 2);
      Separator = ",\n";
    }
    Text += "\n" + std::string(Indent, ' ') + '}';
  } else if (const json::array *Array = Value.if_array()) {
    Text += '[';
    for (const json::value &Element : *Array) {
      Text += Separator + Inner;
      appendIndented(Text, Element, Indent + 2);
      Separator = ",\n";
    }
    Text += "\n" + std::string(Indent, ' ') + ']';
  }
}

} // namespace

std::string numberText(double Value) {
  std::array<char, 64> Digits{};
  const auto [End, Code] =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  return std::string(Digits.data(), End);
}

std::string prettyJson(const json::value &Value) {
  std::string Text;
  appendIndented(Text, Value, 0);
  Text += '\n';
  return Text;
}

} // namespace comfreyrill
