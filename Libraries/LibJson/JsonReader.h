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

/// The JSON name of one value of an enumeration.
template <typename Enumeration> struct EnumerationName {
  std::string_view Name;
  Enumeration Value;
};

/// Reads one value of a JsonDocument. Each reading function stores the value
/// and returns true; or it leaves Out as it is, returns false and, unless the
/// field is optional and absent, adds a fault to the document. So Out holds
/// the default beforehand.
class JsonReader {
public:
  static constexpr std::size_t NoMaximum = static_cast<std::size_t>(-1);

  /// Field of an object. Reading it is a fault when it is absent.
  JsonReader required(std::string_view Name);
  /// Field of an object. Reading it does nothing when it is absent.
  JsonReader optional(std::string_view Name);

  /// True when there is a value, of whatever type.
  bool isPresent() const { return Value != nullptr; }
  const std::string &path() const { return Path; }

  /// Text of MinimumBytes to MaximumBytes.
  bool string(std::string &Out, std::size_t MinimumBytes,
              std::size_t MaximumBytes);
  /// Name of 1 to 64 letters, digits, '.', '-' and '_', which is safe in URLs,
  /// headers and log lines.
  template <typename Tag> bool identifier(Identifier<Tag> &Out) {
    return identifierText(Out.Value);
  }
  /// 64-bit number as 16 hexadecimal digits, because JSON readers of other
  /// languages lose the low digits of large numbers.
  bool hexadecimalNumber(std::uint64_t &Out);
  /// Text that the function accepts; Allowed says in words what that is.
  bool matchingText(std::string &Out, const std::string &Allowed,
                    const std::function<bool(std::string_view Text)> &Accepts);
  /// Whole number in a range, both ends included.
  template <std::unsigned_integral Integer>
  bool integer(Integer &Out, std::uint64_t Minimum, std::uint64_t Maximum) {
    std::uint64_t Wide = 0;
    if (!integerValue(Wide, Minimum, Maximum))
      return false;
    Out = static_cast<Integer>(Wide);
    return true;
  }
  /// Number in a range, both ends included. Exact for up to 9 digits.
  bool number(double &Out, double Minimum, double Maximum);
  bool boolean(bool &Out);
  /// Time in milliseconds, fractions allowed; the field's name ends in "_ms".
  bool duration(Duration &Out, Duration Minimum, Duration Maximum);
  /// "ip:port" or "[ipv6]:port", with a port of at least MinimumPort. Use 0
  /// where a listener may take a free port, and 1 for an address to connect to.
  bool endpoint(Endpoint &Out, std::uint16_t MinimumPort);
  /// One of several names.
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
  /// An object whose fields are then read with required and optional. Those
  /// two also check the type, so this is needed only for an object that may
  /// have no field read.
  bool object();
  /// Calls the function for each element, in order. A maximum of NoMaximum
  /// leaves the bound to the size of the document.
  bool array(std::size_t MinimumCount, std::size_t MaximumCount,
             const std::function<void(JsonReader Element)> &ReadElement);

  /// Adds a fault at this value.
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
  /// Describes the field; false when there is nothing to read.
  bool begin(const std::string &Allowed);
  bool fail(std::string Allowed);

  JsonDocument *Document;
  const boost::json::value *Value;
  std::string Path;
  bool IsRequired;
  /// Keeps a missing or mistyped object from being reported again for each of
  /// its fields.
  bool IsReported = false;
};

} // namespace comfreyrill
