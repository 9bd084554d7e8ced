#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibJson/JsonDocument.h>

#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace comfreyrill {

/// JSON name of an enumeration value.
template <typename Enumeration> struct EnumerationName {
  std::string_view Name;
  Enumeration Value;
};

/// Reads one value of a JsonDocument. On success, a read function stores the
/// value in Out and returns true. Otherwise it leaves Out unchanged, returns
/// false and, unless the field is optional and absent, adds a fault to the
/// document. Callers therefore initialize Out with the default value.
class JsonReader {
public:
  static constexpr std::size_t NoMaximum = static_cast<std::size_t>(-1);

  /// Returns a reader for a field of an object. Reading an absent field adds a
  /// fault.
  JsonReader required(std::string_view Name);
  /// Returns a reader for a field of an object. Reading an absent field has no
  /// effect.
  JsonReader optional(std::string_view Name);

  /// Returns true if the value exists, regardless of its type.
  bool isPresent() const { return Value != nullptr; }
  const std::string &path() const { return Path; }

  /// Reads a string of MinimumBytes to MaximumBytes.
  bool string(std::string &Out, std::size_t MinimumBytes,
              std::size_t MaximumBytes);
  /// Reads a name of 1 to 64 letters, digits, '.', '-' and '_'; these
  /// characters need no escaping in URLs, headers and log lines.
  template <typename Tag> bool identifier(Identifier<Tag> &Out) {
    return identifierText(Out.Value);
  }
  /// Reads a 64-bit number from 16 hexadecimal digits. Such numbers are written
  /// as strings because JSON parsers of other languages lose the low digits of
  /// large numbers.
  bool hexadecimalNumber(std::uint64_t &Out);
  /// Reads a string that the function accepts; Allowed describes the accepted
  /// strings in the fault.
  bool matchingText(std::string &Out, const std::string &Allowed,
                    const std::function<bool(std::string_view Text)> &Accepts);
  /// Reads an integer from Minimum to Maximum, both included.
  template <std::unsigned_integral Integer>
  bool integer(Integer &Out, std::uint64_t Minimum, std::uint64_t Maximum) {
    std::uint64_t Wide = 0;
    if (!integerValue(Wide, Minimum, Maximum))
      return false;
    Out = static_cast<Integer>(Wide);
    return true;
  }
  /// Reads a number from Minimum to Maximum, both included. Exact for up to 9
  /// digits.
  bool number(double &Out, double Minimum, double Maximum);
  bool boolean(bool &Out);
  /// Reads a time in milliseconds, fractions allowed; the field's name ends in
  /// "_ms".
  bool duration(Duration &Out, Duration Minimum, Duration Maximum);
  /// Reads "ip:port" or "[ipv6]:port" with a port of at least MinimumPort. Use
  /// 0 for a listener that may bind to any free port, and 1 for an address to
  /// connect to.
  bool endpoint(Endpoint &Out, std::uint16_t MinimumPort);
  /// Reads one of several names and stores its enumeration value.
  template <typename Enumeration>
  bool enumeration(Enumeration &Out,
                   std::initializer_list<EnumerationName<Enumeration>> Names) {
    std::vector<std::string_view> Texts;
    for (const auto &Entry : Names)
      Texts.push_back(Entry.Name);
    std::size_t Index = 0;
    if (!nameIndex(Index, Texts))
      return false;
    Out = (Names.begin() + Index)->Value;
    return true;
  }
  /// Checks that the value is an object. required() and optional() also check
  /// this, so a call is needed only for an object of which possibly no field is
  /// read.
  bool object();
  /// Calls the function for each element of an array, in order. With NoMaximum,
  /// only the size limit of the document bounds the number of elements.
  bool array(std::size_t MinimumCount, std::size_t MaximumCount,
             const std::function<void(JsonReader Element)> &ReadElement);

  /// Adds a fault with the path of this value.
  void addFault(std::string Allowed) const;

private:
  friend class JsonDocument;

  JsonReader(JsonDocument &Document, const boost::json::value *Value,
             std::string Path, bool IsRequired)
      : Document(&Document), Value(Value), Path(std::move(Path)),
        IsRequired(IsRequired) {}

  JsonReader field(std::string_view Name, bool FieldIsRequired);
  bool identifierText(std::string &Out);
  bool integerValue(std::uint64_t &Out, std::uint64_t Minimum,
                    std::uint64_t Maximum);
  bool nameIndex(std::size_t &Out, const std::vector<std::string_view> &Names);
  /// Records the field's description if the document records fields. Returns
  /// false if there is no value to read.
  bool begin(const std::string &Allowed);
  bool fail(std::string Allowed);

  JsonDocument *Document;
  const boost::json::value *Value;
  std::string Path;
  bool IsRequired;
  /// Prevents a missing object or one of the wrong type from being reported
  /// again for each of its fields.
  bool IsReported = false;
};

} // namespace comfreyrill
