#include <LibJson/RepeatedFields.h>

#include <boost/json/basic_parser_impl.hpp>
#include <unordered_set>

namespace comfreyrill {

namespace json = boost::json;

namespace {

// boost::json::basic_parser requires these member names.
// NOLINTBEGIN(readability-identifier-naming)
struct FieldNameHandler {
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  using Code = json::error_code;

  struct Level {
    bool IsArray = false;
    std::size_t Index = 0;
    std::string Key;
    std::unordered_set<std::string> Keys;
  };

  bool on_document_begin(Code &) { return true; }
  bool on_document_end(Code &) { return true; }
  bool on_array_begin(Code &) {
    Levels.push_back(Level{true, 0, {}, {}});
    return true;
  }
  bool on_array_end(std::size_t, Code &) { return endContainer(); }
  bool on_object_begin(Code &) {
    Levels.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, Code &) { return endContainer(); }
  bool on_string_part(json::string_view, std::size_t, Code &) { return true; }
  bool on_string(json::string_view, std::size_t, Code &) { return endValue(); }
  bool on_key_part(json::string_view Part, std::size_t, Code &) {
    Key.append(Part.data(), Part.size());
    return true;
  }
  bool on_key(json::string_view Part, std::size_t, Code &) {
    Key.append(Part.data(), Part.size());
    Level &Current = Levels.back();
    Current.Key = std::move(Key);
    Key.clear();
    if (!Current.Keys.insert(Current.Key).second)
      Repeated.push_back(path());
    return true;
  }
  bool on_number_part(json::string_view, Code &) { return true; }
  bool on_int64(std::int64_t, json::string_view, Code &) { return endValue(); }
  bool on_uint64(std::uint64_t, json::string_view, Code &) {
    return endValue();
  }
  bool on_double(double, json::string_view, Code &) { return endValue(); }
  bool on_bool(bool, Code &) { return endValue(); }
  bool on_null(Code &) { return endValue(); }
  bool on_comment_part(json::string_view, Code &) { return true; }
  bool on_comment(json::string_view, Code &) { return true; }

  // NOLINTEND(readability-identifier-naming)

  bool endValue() {
    if (!Levels.empty())
      ++Levels.back().Index;
    return true;
  }
  bool endContainer() {
    Levels.pop_back();
    return endValue();
  }
  std::string path() const {
    std::string Path;
    for (const Level &Current : Levels) {
      if (Current.IsArray) {
        Path += '[';
        Path += std::to_string(Current.Index);
        Path += ']';
      } else {
        Path += Path.empty() ? "" : ".";
        Path += Current.Key;
      }
    }
    return Path;
  }

  std::vector<Level> Levels;
  std::string Key;
  std::vector<std::string> Repeated;
};

} // namespace

// Boost.JSON keeps only the last of several fields with the same name, so a
// second list of targets would silently replace the first. The handler of the
// event-based parser receives each field before that happens.
std::vector<std::string> repeatedFields(std::string_view Text,
                                        const json::parse_options &Options) {
  json::basic_parser<FieldNameHandler> Parser(Options);
  json::error_code Code;
  Parser.write_some(false, Text.data(), Text.size(), Code);
  return std::move(Parser.handler().Repeated);
}

} // namespace comfreyrill
