#include <LibPlatform/Backoff.h>
#include <LibPlatform/PlatformAnswer.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

// Guards against accepting a version from a malformed ETag, which a conditional
// update would then use.
RC_GTEST_PROP(PlatformAnswerProperties, VersionTagsAreExact, ()) {
  const auto Bytes = *rc::gen::arbitrary<std::string>();
  const auto Parsed = parseVersionTag("\"" + Bytes + "\"");
  if (Parsed && !Bytes.starts_with('0'))
    RC_ASSERT(formatVersionTag(Parsed.value()) == "\"" + Bytes + "\"");
  const ObjectVersion Version{*rc::gen::nonZero<std::uint64_t>()};
  RC_ASSERT(parseVersionTag(formatVersionTag(Version)).value() == Version);
  RC_ASSERT(!parseVersionTag(std::to_string(Version.Value)).has_value());
}

// Guards against delays that do not grow, exceed the maximum, or are equal for
// hosts that failed at the same time.
RC_GTEST_PROP(BackoffProperties, DelayGrowsAndVaries, ()) {
  const auto Failures = *rc::gen::inRange<std::uint32_t>(1, 1000);
  Random Generator(*rc::gen::arbitrary<std::uint64_t>());
  const BackoffPolicy Policy;
  const Duration Delay = retryDelay(Failures, Policy, Generator);
  const Duration FullDelay =
      Failures > 10
          ? Policy.Maximum
          : std::min(Policy.Maximum, Policy.First * (1 << (Failures - 1)));
  RC_ASSERT(Delay <= FullDelay);
  RC_ASSERT(Delay >= FullDelay / 2 - Duration{1});
  RC_ASSERT(Delay != retryDelay(Failures, Policy, Generator));
}

} // namespace
} // namespace comfreyrill
