#include <LibJson/JsonReader.h>
#include <LibJson/JsonText.h>
#include <LibJson/NearestName.h>

#include <boost/json/parse.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

enum class Colour { Red, Green };

struct Sample {
  std::string Text = "default";
  HostId Host;
  std::uint32_t Count = 7;
  double Ratio = 0.5;
  bool Flag = false;
  Duration Pause = std::chrono::milliseconds(3);
  Endpoint Address;
  Colour Paint = Colour::Red;
  std::vector<std::uint32_t> Slots;
};

Sample readSample(JsonDocument &Document) {
  Sample Out;
  JsonReader Root = Document.root();
  Root.optional("text").string(Out.Text, 0, 10);
  Root.required("host").identifier(Out.Host);
  Root.optional("count").integer(Out.Count, 1, 100);
  Root.optional("ratio").number(Out.Ratio, 0, 1);
  Root.optional("flag").boolean(Out.Flag);
  Root.optional("pause_ms")
      .duration(Out.Pause, Duration{0}, std::chrono::seconds(1));
  Root.optional("address").endpoint(Out.Address, 1);
  Root.optional("paint").enumeration<Colour>(
      Out.Paint, {{"red", Colour::Red}, {"green", Colour::Green}});
  JsonReader Group = Root.optional("group");
  Group.optional("targets").array(0, 3, [&](JsonReader Target) {
    std::uint32_t Slots = 0;
    Target.required("slots").integer(Slots, 1, 8);
    Out.Slots.push_back(Slots);
  });
  return Out;
}

std::vector<std::string> faultsOf(std::string_view Text,
                                  const JsonLimits &Limits = {}) {
  JsonDocument Document(Text, Limits);
  readSample(Document);
  const bool IsValid = Document.finish("sample").has_value();
  std::vector<std::string> Lines;
  for (const JsonFault &Fault : Document.faults())
    Lines.push_back(formatFault(Fault));
  EXPECT_EQ(IsValid, Lines.empty());
  return Lines;
}

// Guards against a value that is dropped or converted to the wrong unit.
TEST(JsonReader, ReadsEveryType) {
  JsonDocument Document(
      R"({"text":"a","host":"h-1","count":100,"ratio":0.25,"flag":true,
          "pause_ms":1.5,"address":"127.0.0.1:80","paint":"green",
          "group":{"targets":[{"slots":2},{"slots":8}]}})");
  const Sample Out = readSample(Document);
  ASSERT_TRUE(Document.finish("sample").has_value());
  EXPECT_EQ(Out.Text, "a");
  EXPECT_EQ(Out.Host, HostId("h-1"));
  EXPECT_EQ(Out.Count, 100U);
  EXPECT_EQ(Out.Ratio, 0.25);
  EXPECT_TRUE(Out.Flag);
  EXPECT_EQ(Out.Pause, std::chrono::microseconds(1500));
  EXPECT_EQ(Out.Address, (Endpoint{"127.0.0.1", 80}));
  EXPECT_EQ(Out.Paint, Colour::Green);
  EXPECT_EQ(Out.Slots, (std::vector<std::uint32_t>{2, 8}));
}

// Guards against an absent optional field that overwrites its default.
TEST(JsonReader, KeepsDefaultsOfAbsentFields) {
  JsonDocument Document(R"({"host":"h"})");
  const Sample Out = readSample(Document);
  ASSERT_TRUE(Document.finish("sample").has_value());
  EXPECT_EQ(Out.Text, "default");
  EXPECT_EQ(Out.Count, 7U);
}

// Guards against a reader that stops at the first fault, and against faults
// without the path, the value found or the allowed values.
TEST(JsonReader, ReportsEachFaultWithItsPath) {
  const std::string AllowedSlots = "an integer from 1 to 8";
  const std::string AllowedEndpoints =
      "an IP number and a port from 1 to 65535, "
      "for example \"127.0.0.1:7001\"";
  const std::string AllowedPaints =
      R"("red" or "green" (did you mean "green"?))";
  const std::string AllowedNames =
      "a name of 1 to 64 letters, digits, '.', '-' and '_'";
  EXPECT_EQ(
      faultsOf(R"({"text":"12345678901","count":0,"ratio":1.5,"flag":1,
                   "pause_ms":1e300,"address":"127.0.0.1:0","paint":"grene",
                   "group":{"targets":[{"slots":2},{"slots":2.5},{}]}})"),
      (std::vector<std::string>{
          R"(text: found "12345678901", allowed: a string of 0 to 10 bytes)",
          "host: found nothing, allowed: " + AllowedNames,
          "count: found 0, allowed: an integer from 1 to 100",
          "ratio: found 1.5, allowed: a number from 0 to 1",
          "flag: found 1, allowed: true or false",
          "pause_ms: found 1e+300, allowed: milliseconds from 0 to 1000",
          "address: found \"127.0.0.1:0\", allowed: " + AllowedEndpoints,
          "paint: found \"grene\", allowed: " + AllowedPaints,
          "group.targets[1].slots: found 2.5, allowed: " + AllowedSlots,
          "group.targets[2].slots: found nothing, allowed: " + AllowedSlots}));
}

// Guards against a misspelt field for which the default is used silently.
TEST(JsonReader, RefusesUnknownFieldsAndNamesTheNearest) {
  const auto Lines = faultsOf(
      R"({"host":"h","coutn":3,"group":{"targets":[{"slots":1,"x":1}]}})");
  ASSERT_EQ(Lines.size(), 2U);
  EXPECT_TRUE(Lines[0].starts_with(
      "coutn: found an unknown field, allowed: 'count' is the nearest of "));
  EXPECT_EQ(Lines[1], "group.targets[0].x: found an unknown field, allowed: "
                      "slots");
}

// Guards against the suggestion of a name that is not similar to the one given.
TEST(NearestName, AcceptsAtMostTwoWrongLetters) {
  const std::vector<std::string_view> Known{"slots", "address", "id"};
  EXPECT_EQ(nearestName("sltosx", Known), "slots");
  EXPECT_EQ(nearestName("adresse", Known), "address");
  EXPECT_EQ(nearestName("slgtoqs", Known), "");
  EXPECT_EQ(nearestName("ix", Known), "");
}

// Guards against formatted JSON that parses to a different value.
TEST(JsonText, PrettyJsonParsesToTheSameValue) {
  const boost::json::value Value = boost::json::parse(
      R"({"a":[],"b":{},"c":[{"d":0.1,"e":[1,-2,true,null]},"x\n"],"f":1e300})");
  const std::string Text = prettyJson(Value);
  EXPECT_EQ(boost::json::parse(Text), Value) << Text;
  EXPECT_NE(Text.find("\"d\": 0.1"), std::string::npos) << Text;
}

// Guards against responses of a newer version that an older version rejects
// because of additional fields.
TEST(JsonReader, IgnoresUnknownFieldsOnRequest) {
  JsonDocument Document(R"({"host":"h","added_later":1})");
  readSample(Document);
  EXPECT_TRUE(Document.finish("sample", UnknownFields::Ignore).has_value());
}

// Guards against a second field of the same name that silently replaces the
// first.
TEST(JsonReader, RefusesRepeatedFields) {
  EXPECT_EQ(faultsOf(R"({"host":"h","group":{"targets":[{"slots":1},
                         {"slots":1,"slots":2}]}})"),
            (std::vector<std::string>{
                "group.targets[1].slots: found the field more than once, "
                "allowed: the field once"}));
}

// Guards against one value of the wrong type that is reported once for each of
// its expected fields.
TEST(JsonReader, ReportsAWrongContainerTypeOnce) {
  EXPECT_EQ(
      faultsOf(R"([1,2])"),
      (std::vector<std::string>{"found an array of 2, allowed: an object"}));
  EXPECT_EQ(faultsOf(R"({"host":"h","group":3})"),
            (std::vector<std::string>{"group: found 3, allowed: an object"}));
}

// Guards against input that exhausts memory or the stack, and against a syntax
// error that is reported without line and column.
TEST(JsonReader, LimitsSizeAndDepth) {
  JsonDocument Large(std::string(11, ' '), {10, 32});
  EXPECT_EQ(Large.finish("sample").error().Kind, ErrorKind::TooLarge);
  const auto Deep = faultsOf(std::string(100000, '['));
  ASSERT_EQ(Deep.size(), 1U);
  EXPECT_NE(Deep[0].find("at most 32 deep"), std::string::npos);
  EXPECT_EQ(faultsOf("[[1]]", {100, 2})[0],
            "found an array of 1, allowed: an object");
  EXPECT_NE(faultsOf("[[[1]]]", {100, 2})[0].find("at most 2 deep"),
            std::string::npos);
  const auto Broken = faultsOf("{\"host\":\n  ?}");
  ASSERT_EQ(Broken.size(), 1U);
  EXPECT_NE(Broken[0].find("line 2, column 3"), std::string::npos) << Broken[0];
}

// Guards against a file with so many faults that the report exhausts memory or
// becomes unreadable.
TEST(JsonReader, LimitsTheNumberOfFaults) {
  std::string Text = R"({"host":"h")";
  for (int Index = 0; Index < 500; ++Index)
    Text += ",\"f" + std::to_string(Index) + "\":1";
  JsonDocument Document(Text + "}");
  readSample(Document);
  const auto Finished = Document.finish("sample");
  ASSERT_FALSE(Finished.has_value());
  EXPECT_EQ(Document.faults().size(), 100U);
  EXPECT_TRUE(Finished.error().Message.ends_with("and 400 more"));
}

// Guards against random bytes and damaged documents that crash the process.
RC_GTEST_PROP(JsonReaderProperties, SurvivesAnyBytes, ()) {
  const auto Bytes = *rc::gen::arbitrary<std::string>();
  faultsOf(Bytes);
  std::string Damaged =
      R"({"host":"h","paint":"red","group":{"targets":[{"slots":2}]}})";
  const auto Start = *rc::gen::inRange<std::size_t>(0, Damaged.size());
  const auto Count = *rc::gen::inRange<std::size_t>(0, 6);
  Damaged.replace(Start, Count, Bytes);
  faultsOf(Damaged);
}

} // namespace
} // namespace comfreyrill
