#include <LibOnce/IdempotencyKey.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

HostProcess arbitraryProcess() {
  auto Length =
      *rc::gen::inRange<std::size_t>(1, KeyHostLengthMaximumBytes + 1);
  HostProcess Process;
  Process.Host = HostId(*rc::gen::container<std::string>(
      Length, rc::gen::elementOf(std::string("abcxyzABCXYZ0189._-"))));
  Process.Incarnation.Value = *rc::gen::arbitrary<std::uint64_t>();
  return Process;
}

IdempotencyKey arbitraryKey() {
  IdempotencyKey Key;
  Key.Issuer = arbitraryProcess();
  if (*rc::gen::arbitrary<bool>())
    Key.Witness = arbitraryProcess();
  Key.Sequence = *rc::gen::arbitrary<std::uint64_t>();
  Key.Expiry = TimePoint(Duration(*rc::gen::arbitrary<std::int64_t>()));
  Key.Tag = *rc::gen::arbitrary<std::uint64_t>();
  return Key;
}

// Guards against text from a caller that crashes the process or makes the
// parser read out of bounds.
RC_GTEST_PROP(IdempotencyKey, ArbitraryBytesGiveAKeyOrAnError,
              (const std::string &Text)) {
  auto Parsed = parseKey(Text);
  if (Parsed.has_value())
    RC_ASSERT(formatKey(Parsed.value()) == Text);
  else
    RC_ASSERT(Parsed.error().Kind == ErrorKind::InvalidInput);
}

// Guards against a second spelling of a key, which would get a record of its
// own.
RC_GTEST_PROP(IdempotencyKey, ChangedTextIsRejectedOrADifferentKey, ()) {
  IdempotencyKey Key = arbitraryKey();
  std::string Text = formatKey(Key);
  auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
  auto Replacement = *rc::gen::arbitrary<char>();
  RC_PRE(Text[Position] != Replacement);
  Text[Position] = Replacement;
  auto Parsed = parseKey(Text);
  // RC_ASSERT does not short-circuit the operands of its expression.
  bool IsSameKey = Parsed.has_value() && Parsed.value() == Key;
  RC_ASSERT(!IsSameKey);
}

RC_GTEST_PROP(IdempotencyKey, FormattedKeyParsesToTheSameKey, ()) {
  IdempotencyKey Key = arbitraryKey();
  std::string Text = formatKey(Key);
  RC_ASSERT(Text.size() <= KeyLengthMaximumBytes);
  auto Parsed = parseKey(Text);
  RC_ASSERT(Parsed.has_value());
  RC_ASSERT(Parsed.value() == Key);
}

// Guards against a caller that changes a field of its key, such as the expiry
// or the witness.
RC_GTEST_PROP(IdempotencyKey, TagCoversAllFields, ()) {
  IdempotencyKey Key = arbitraryKey();
  Key.Tag = keyTag(Key, "secret");
  RC_ASSERT(hasValidTag(Key, "secret"));
  RC_ASSERT(!hasValidTag(Key, "another"));
  IdempotencyKey Other = arbitraryKey();
  Other.Tag = Key.Tag;
  bool IsAccepted = !(Other == Key) && hasValidTag(Other, "secret");
  RC_ASSERT(!IsAccepted);
}

TEST(IdempotencyKey, OversizedTextIsTooLarge) {
  auto Parsed = parseKey(std::string(KeyLengthMaximumBytes + 1, 'a'));
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().Kind, ErrorKind::TooLarge);
}

TEST(IdempotencyKey, ErrorForMalformedTextStatesTheRemedy) {
  std::string Number(16, '0');
  std::string Rest = ":" + Number + ":" + Number + ":" + Number;
  ASSERT_TRUE(parseKey("cr1:h:" + Number + "::" + Number + Rest).has_value());
  for (const std::string &Text :
       {std::string(), std::string("cr1"), std::string(255, ':'),
        "cr2:h:" + Number + "::" + Number + Rest,
        "cr1::" + Number + "::" + Number + Rest,
        "cr1:h h:" + Number + "::" + Number + Rest,
        "cr1:h:" + Number + "::" + Number + Rest + ":",
        "cr1:h:000000000000000A::" + Number + Rest,
        "cr1:h:-00000000000000a::" + Number + Rest,
        "cr1:h:" + Number + "::0000000000000001" + Rest,
        "cr1:h:" + Number + ":" + std::string(65, 'w') + ":" + Number + Rest}) {
    auto Parsed = parseKey(Text);
    ASSERT_FALSE(Parsed.has_value()) << Text;
    EXPECT_EQ(Parsed.error().Kind, ErrorKind::InvalidInput) << Text;
    EXPECT_NE(Parsed.error().Message.find("/v1/keys"), std::string::npos);
  }
}

} // namespace
} // namespace comfreyrill
