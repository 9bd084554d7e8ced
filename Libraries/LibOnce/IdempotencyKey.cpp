#include <LibOnce/IdempotencyKey.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <openssl/crypto.h>

namespace comfreyrill {

namespace {

constexpr std::string_view Version = "cr1";
constexpr std::string_view NoHost = "";
constexpr std::size_t FieldCount = 8;

std::string textWithoutTag(const IdempotencyKey &Key) {
  std::string Text(Version);
  auto Append = [&Text](std::string_view Field) {
    Text += ':';
    Text += Field;
  };
  Append(Key.Issuer.Host.Value);
  Append(hexadecimal(Key.Issuer.Incarnation.Value));
  Append(Key.Witness ? std::string_view(Key.Witness->Host.Value) : NoHost);
  Append(hexadecimal(Key.Witness ? Key.Witness->Incarnation.Value : 0));
  Append(hexadecimal(Key.Sequence));
  Append(hexadecimal(
      static_cast<std::uint64_t>(Key.Expiry.time_since_epoch().count())));
  return Text;
}

Error malformed(std::string_view Problem) {
  return Error{ErrorKind::InvalidInput,
               "the idempotency key " + std::string(Problem) +
                   "; send a key unchanged as POST /v1/keys returned it"};
}

// Accepts only one spelling of a number, so that two texts never denote the
// same key.
Result<std::uint64_t> readNumber(std::string_view Text) {
  const auto Value = parseHexadecimal(Text);
  if (!Value)
    return malformed("has a number that is not 16 lower-case hex digits");
  return *Value;
}

} // namespace

bool isValidKeyHostName(std::string_view Name) {
  return !Name.empty() && Name.size() <= KeyHostLengthMaximumBytes &&
         std::all_of(Name.begin(), Name.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
                  (C >= 'A' && C <= 'Z') || C == '.' || C == '_' || C == '-';
         });
}

std::string formatKey(const IdempotencyKey &Key) {
  return textWithoutTag(Key) + ':' + hexadecimal(Key.Tag);
}

Result<IdempotencyKey> parseKey(std::string_view Text) {
  if (Text.size() > KeyLengthMaximumBytes)
    return Error{ErrorKind::TooLarge,
                 "the idempotency key exceeds 256 bytes; send a key unchanged "
                 "as POST /v1/keys returned it"};
  std::array<std::string_view, FieldCount> Fields;
  for (std::size_t Index = 0; Index < FieldCount; ++Index) {
    std::size_t End = Text.find(':');
    if ((End == std::string_view::npos) != (Index + 1 == FieldCount))
      return malformed("does not have 8 fields");
    Fields[Index] = Text.substr(0, End);
    if (End != std::string_view::npos)
      Text.remove_prefix(End + 1);
  }
  if (Fields[0] != Version)
    return malformed("has an unknown version");
  if (!isValidKeyHostName(Fields[1]))
    return malformed("has no valid issuer");
  IdempotencyKey Key;
  Key.Issuer.Host = HostId(std::string(Fields[1]));
  TRY(Key.Issuer.Incarnation.Value, readNumber(Fields[2]));
  std::uint64_t WitnessIncarnation = 0;
  TRY(WitnessIncarnation, readNumber(Fields[4]));
  if (!Fields[3].empty()) {
    if (!isValidKeyHostName(Fields[3]))
      return malformed("has no valid witness");
    Key.Witness = HostProcess{HostId(std::string(Fields[3])),
                              HostIncarnation{WitnessIncarnation}};
  } else if (WitnessIncarnation != 0) {
    return malformed("has a witness without a name");
  }
  TRY(Key.Sequence, readNumber(Fields[5]));
  std::uint64_t Expiry = 0;
  TRY(Expiry, readNumber(Fields[6]));
  Key.Expiry = TimePoint(Duration(static_cast<Duration::rep>(Expiry)));
  TRY(Key.Tag, readNumber(Fields[7]));
  return Key;
}

std::uint64_t keyTag(const IdempotencyKey &Key, std::string_view Secret) {
  std::string Text = messageTag(Secret, textWithoutTag(Key));
  std::uint64_t Tag = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Tag, 16);
  return Tag;
}

// The comparison takes the same time for each wrong tag, so that a tag cannot
// be found digit by digit from response times.
bool hasValidTag(const IdempotencyKey &Key, std::string_view Secret) {
  std::uint64_t Expected = keyTag(Key, Secret);
  return CRYPTO_memcmp(&Expected, &Key.Tag, sizeof(Expected)) == 0;
}

} // namespace comfreyrill
