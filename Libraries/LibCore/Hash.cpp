#include <LibCore/Hash.h>

#include <array>
#include <charconv>
#include <cstring>
#include <memory>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace comfreyrill {

namespace {

std::uint64_t firstEightBytes(const unsigned char *Bytes) {
  std::uint64_t Value = 0;
  for (int Index = 0; Index < 8; ++Index)
    Value = (Value << 8) | Bytes[Index];
  return Value;
}

} // namespace

// The parts are not joined, because one of them may be a long body.
std::uint64_t stableHash(std::initializer_list<std::string_view> Parts) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> Context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(Context.get(), EVP_sha256(), nullptr);
  for (const std::string_view Part : Parts) {
    const std::string Length = std::to_string(Part.size()) + ':';
    EVP_DigestUpdate(Context.get(), Length.data(), Length.size());
    EVP_DigestUpdate(Context.get(), Part.data(), Part.size());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  EVP_DigestFinal_ex(Context.get(), Digest.data(), nullptr);
  return firstEightBytes(Digest.data());
}

std::string messageTag(std::string_view Secret, std::string_view Message) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Message.data()), Message.size(),
       Digest.data(), &Length);
  return hexadecimal(firstEightBytes(Digest.data()));
}

std::string hexadecimal(std::uint64_t Value) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(16, '0');
  for (int Index = 15; Index >= 0; --Index) {
    Text[static_cast<std::size_t>(Index)] = Digits[Value & 0xF];
    Value >>= 4;
  }
  return Text;
}

std::optional<std::uint64_t> parseHexadecimal(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Position, Code] = std::from_chars(Text.data(), End, Value, 16);
  if (Code != std::errc() || Position != End || hexadecimal(Value) != Text)
    return std::nullopt;
  return Value;
}

} // namespace comfreyrill
