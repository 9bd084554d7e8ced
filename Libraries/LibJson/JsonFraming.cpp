#include <LibJson/JsonFraming.h>

namespace comfreyrill {

namespace {

/// Position in JSON text of which only the structure is read. Nesting is
/// counted, not followed by recursion, so its depth needs no limit.
class JsonScanner {
public:
  explicit JsonScanner(std::string_view Text) : Rest(Text) {}

  /// Skips white space and returns the next character, or 0 at the end.
  char peek() {
    while (!Rest.empty() && isSpace(Rest.front()))
      Rest.remove_prefix(1);
    return Rest.empty() ? '\0' : Rest.front();
  }

  bool skip(char Expected) {
    if (peek() != Expected)
      return false;
    Rest.remove_prefix(1);
    return true;
  }

  /// Takes the next value; empty if there is none or if it has no end.
  std::string_view takeValue() {
    switch (peek()) {
    case '"':
      return take(stringEnd(0));
    case '{':
    case '[':
      return take(nestedEnd());
    default:
      return take(Rest.find_first_of(",:]} \t\r\n"));
    }
  }

private:
  static bool isSpace(char Character) {
    return Character == ' ' || Character == '\t' || Character == '\r' ||
           Character == '\n';
  }

  std::string_view take(std::size_t Length) {
    if (Length == std::string_view::npos)
      return {};
    const std::string_view Taken = Rest.substr(0, Length);
    Rest.remove_prefix(Length);
    return Taken;
  }

  /// Returns the position after the string that begins at Begin.
  std::size_t stringEnd(std::size_t Begin) const {
    for (std::size_t Index = Begin + 1; Index < Rest.size(); ++Index) {
      if (Rest[Index] == '"')
        return Index + 1;
      if (Rest[Index] == '\\')
        ++Index;
    }
    return std::string_view::npos;
  }

  std::size_t nestedEnd() const {
    std::size_t Depth = 0;
    for (std::size_t Index = 0; Index < Rest.size(); ++Index) {
      switch (Rest[Index]) {
      case '"': {
        const std::size_t End = stringEnd(Index);
        if (End == std::string_view::npos)
          return End;
        Index = End - 1;
        break;
      }
      case '{':
      case '[':
        ++Depth;
        break;
      case '}':
      case ']':
        if (--Depth == 0)
          return Index + 1;
        break;
      default:
        break;
      }
    }
    return std::string_view::npos;
  }

  std::string_view Rest;
};

Error invalidStructure(std::string_view Expected) {
  return {ErrorKind::InvalidInput, "the text is not a JSON " +
                                       std::string(Expected) +
                                       "; correct the program that sent it"};
}

} // namespace

Result<std::vector<JsonMember>> splitObject(std::string_view Text) {
  JsonScanner Scanner(Text);
  std::vector<JsonMember> Members;
  if (!Scanner.skip('{'))
    return invalidStructure("object");
  if (!Scanner.skip('}')) {
    do {
      if (Scanner.peek() != '"')
        return invalidStructure("object");
      std::string_view Name = Scanner.takeValue();
      if (Name.empty() || !Scanner.skip(':'))
        return invalidStructure("object");
      const std::string_view Value = Scanner.takeValue();
      if (Value.empty())
        return invalidStructure("object");
      Members.push_back({Name.substr(1, Name.size() - 2), Value});
    } while (Scanner.skip(','));
    if (!Scanner.skip('}'))
      return invalidStructure("object");
  }
  if (Scanner.peek() != '\0')
    return invalidStructure("object");
  return Members;
}

Result<std::vector<std::string_view>> splitArray(std::string_view Text) {
  JsonScanner Scanner(Text);
  std::vector<std::string_view> Elements;
  if (!Scanner.skip('['))
    return invalidStructure("array");
  if (!Scanner.skip(']')) {
    do {
      const std::string_view Element = Scanner.takeValue();
      if (Element.empty())
        return invalidStructure("array");
      Elements.push_back(Element);
    } while (Scanner.skip(','));
    if (!Scanner.skip(']'))
      return invalidStructure("array");
  }
  if (Scanner.peek() != '\0')
    return invalidStructure("array");
  return Elements;
}

std::optional<std::string_view>
findMember(const std::vector<JsonMember> &Members, std::string_view Name) {
  for (auto Position = Members.rbegin(); Position != Members.rend(); ++Position)
    if (Position->Name == Name)
      return Position->Value;
  return std::nullopt;
}

} // namespace comfreyrill
