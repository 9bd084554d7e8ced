#include <LibManifest/Envelope.h>

#include <LibManifest/ManifestWriter.h>

#include "GenerateManifest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

// Guards against an envelope that loses its history or number when it is
// written and read back.
RC_GTEST_PROP(EnvelopeProperties, IsPreservedByWritingAndReading, ()) {
  ManifestEnvelope Envelope;
  const auto Count =
      *rc::gen::inRange<std::uint64_t>(0, ApplyHistoryLength + 1);
  for (std::uint64_t Index = 1; Index <= Count; ++Index)
    Envelope.History.push_back(
        {ApplyId("a" + std::to_string(Index)), ManifestNumber{Index * 3}});
  Envelope.Number = ManifestNumber{Count * 3 + 1};
  Envelope.Apply = ApplyId("own");
  Envelope.Content = generateManifest();
  const auto Parsed = parseEnvelope(formatEnvelope(Envelope).value());
  RC_ASSERT(Parsed.has_value());
  RC_ASSERT(Parsed.value() == Envelope);
}

// Guards against a host that accepts a damaged envelope.
TEST(Envelope, ReportsEachFault) {
  const auto Parsed = parseEnvelope(
      R"({"number":5,"apply_id":"x","history":[{"apply_id":"a","number":3},
          {"apply_id":"x","number":3},{"apply_id":"c","number":5}],
          "manifest":{"services":[{"name":"s","targets":[{"id":"t",
          "address":"127.0.0.1:1","failure_domain":"a","slots":0}]}]}})");
  ASSERT_FALSE(Parsed.has_value());
  for (const char *Path :
       {"history[1].number: ", "history[1].apply_id: ", "history[2].number: ",
        "manifest.services[0].targets[0].slots: "})
    EXPECT_NE(Parsed.error().Message.find(Path), std::string::npos)
        << Path << Parsed.error().Message;
}

// Guards against a manifest that the platform rejects although the operator was
// told that it is valid. Also checks that a manifest of the design scale fits.
TEST(Envelope, LimitsTheStoredSize) {
  ManifestEnvelope Envelope;
  Envelope.Number = ManifestNumber{1};
  Envelope.Apply = ApplyId("own");
  const auto Fill = [&](int Targets) {
    Envelope.Content.Services.assign(44, {});
    for (int Index = 0; Index < Targets; ++Index)
      Envelope.Content.Services[Index % 44].Targets.push_back(
          {TargetId("target-" + std::to_string(Index)),
           {"10.111.111.111", 50000},
           FailureDomain("domain-1"),
           6});
  };
  Fill(870);
  const auto Fits = formatEnvelope(Envelope);
  ASSERT_TRUE(Fits.has_value());
  RecordProperty("bytes_870_targets", static_cast<int>(Fits.value().size()));
  EXPECT_LT(Fits.value().size(), 200'000U);
  Fill(9000);
  EXPECT_EQ(formatEnvelope(Envelope).error().Kind, ErrorKind::TooLarge);
}

// Guards against changes of two operators with the same apply id.
TEST(Envelope, ApplyIdsDiffer) {
  Random Generator(7);
  EXPECT_NE(newApplyId(Generator), newApplyId(Generator));
}

} // namespace
} // namespace comfreyrill
