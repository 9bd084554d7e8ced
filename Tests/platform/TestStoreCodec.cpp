#include <platform/StoreCodec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view ConfigurationText = R"({
  "version":"r7","routes":[
    {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"non_idempotent",
     "timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"stock",
     "maxAttempts":2},
    {"name":"r2","host":"a.example","pathPrefix":"/y/","kind":"read_only",
     "timeoutS":1.5,"targetLatencyS":0.4,"priority":2,"maxAttempts":3,
     "trafficSplit":[{"service":"stock","weight":90},
                     {"service":"desk","weight":10}]}],
  "services":[{"name":"stock","healthPath":"/health","maxConnections":260},
              {"name":"desk","healthPath":"/h2","maxConnections":10}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
            "headerTimeoutS":3,"idleTimeoutS":15},"later":"field"})";

TEST(StoreCodec, DecodesTheConfiguration) {
  const auto Read = decodeConfiguration(ConfigurationText);
  ASSERT_TRUE(Read);
  const Configuration &Value = Read.value();
  EXPECT_EQ(Value.Version.Value, 7U);
  ASSERT_EQ(Value.Routes.size(), 2U);
  EXPECT_EQ(Value.Routes[0].Semantics, ExecutionSemantics::AtMostOnce);
  EXPECT_EQ(Value.Routes[0].Timeout, 2s);
  EXPECT_EQ(Value.Routes[0].Services.front().Service, ServiceName("stock"));
  EXPECT_EQ(Value.Routes[1].Semantics, ExecutionSemantics::Idempotent);
  EXPECT_EQ(Value.Routes[1].LatencyObjective, 400ms);
  ASSERT_EQ(Value.Routes[1].Services.size(), 2U);
  EXPECT_DOUBLE_EQ(Value.Routes[1].Services[1].Weight, 10);
  EXPECT_EQ(Value.Services[1].HealthPath, "/h2");
  EXPECT_EQ(Value.Limits.IdleTime, 15s);
}

// Guards against applying an incomplete configuration.
TEST(StoreCodec, IncompleteConfigurationIsRejected) {
  for (const char *Text :
       {"", "{}", "[]", R"({"version":"7","routes":[],"services":[]})",
        R"({"version":"r7","routes":[{"name":"r"}],"services":[]})",
        R"({"version":"r7","services":[]})"})
    EXPECT_FALSE(decodeConfiguration(Text)) << Text;
}

std::string withAccounts(const std::string &Accounts) {
  return R"({"version":"r8","routes":[
    {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"read_only",
     "timeoutS":2,"service":"stock","public":true}],
    "services":[],"tenants":)" +
         Accounts + "}";
}

// Guards against accounts that are lost on the way from the operators: requests
// would run without a key.
TEST(StoreCodec, DecodesAccounts) {
  const auto Read = decodeConfiguration(withAccounts(
      R"([{"name":"alder","apiKeys":["k1","k2"],"priority":1,"ratePerS":300,
           "burst":30},{"name":"birch","apiKeys":["k3"]},{"name":"cedar"}])"));
  ASSERT_TRUE(Read);
  const Configuration &Value = Read.value();
  EXPECT_TRUE(Value.Routes.front().IsPublic);
  ASSERT_TRUE(Value.Accounts && Value.Accounts->size() == 3);
  EXPECT_EQ(Value.Accounts->front().Name, AccountName("alder"));
  EXPECT_EQ(Value.Accounts->front().Priority, 1U);
  EXPECT_DOUBLE_EQ(Value.Accounts->front().Rate, 300);
  EXPECT_DOUBLE_EQ(Value.Accounts->front().Burst, 30);
  EXPECT_FALSE((*Value.Accounts)[1].Priority);
  EXPECT_EQ(findAccount(Value.Keys, "k2"), 0U);
  EXPECT_EQ(findAccount(Value.Keys, "k3"), 1U);
  EXPECT_EQ(findAccount(Value.Keys, "k4"), std::nullopt);
  EXPECT_EQ(findAccount(Value.Keys, ""), std::nullopt);
  EXPECT_FALSE(decodeConfiguration(ConfigurationText).value().Accounts);
}

// Guards against applying accounts whose keys are ambiguous, and against keys
// in error messages.
TEST(StoreCodec, InvalidAccountsAreRejected) {
  for (const char *Accounts :
       {R"([{"name":"a","apiKeys":["same"]},{"name":"b","apiKeys":["same"]}])",
        R"([{"name":"a","apiKeys":["same","same"]}])",
        R"([{"name":"","apiKeys":["same"]}])", R"([{"apiKeys":["same"]}])",
        R"([{"name":"a","apiKeys":["same",""]}])",
        R"([{"name":"a","apiKeys":["same"],"ratePerS":-1}])", R"({})"}) {
    const auto Read = decodeConfiguration(withAccounts(Accounts));
    ASSERT_FALSE(Read) << Accounts;
    EXPECT_EQ(Read.error().Message.find("same"), std::string::npos);
  }
}

StoreObject entry(std::string Specification) {
  return {"i-1", {5}, std::move(Specification)};
}

TEST(StoreCodec, DecodesARegistration) {
  const auto Read = decodeRegistration(
      entry(R"({"service":"stock","address":"10.1.0.9:8080","zone":"west",
                "version":"v1","slots":2,"state":"draining","coldLeftS":1.5,
                "sequence":4,"born":1700000000123})"));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().Id, TargetId("i-1"));
  EXPECT_EQ(Read.value().Address, (Endpoint{"10.1.0.9", 8080}));
  EXPECT_EQ(Read.value().ColdTime, 1500ms);
  EXPECT_EQ(Read.value().StartedAtMilliseconds, 1700000000123U);
  EXPECT_TRUE(Read.value().IsDraining);
}

// Guards against a usable target that is left out because it reports that it
// has been at full speed for a while.
TEST(StoreCodec, ColdTimeIsNeverNegative) {
  const auto Read = decodeRegistration(
      entry(R"({"service":"s","address":"10.1.0.9:8080","zone":"w","slots":2,
                "state":"ready","coldLeftS":-0.5})"));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().ColdTime, 0s);
}

// Guards against accepting entries of other programs as registrations.
TEST(StoreCodec, EntriesWithoutAUsableTargetAreRejected) {
  for (
      const char *Text :
      {"null", "{}", "\"text\"",
       R"({"service":1,"address":"10.1.0.9:8080","zone":"w","slots":2,"state":"ready"})",
       R"({"service":"s","address":"nowhere","zone":"w","slots":2,"state":"ready"})",
       R"({"service":"s","address":"10.1.0.9:8080","zone":"w","slots":2.5,"state":"ready"})",
       R"({"service":"s","address":"10.1.0.9:8080","zone":"w","slots":2,"state":"resting"})"})
    EXPECT_FALSE(decodeRegistration(entry(Text))) << Text;
}

// Guards against one unreadable entry that makes the others unavailable.
TEST(StoreCodec, UnreadableItemsAreSkipped) {
  const auto Page = decodePage(
      R"({"items":["text",{"metadata":{}},
          {"metadata":{"name":"a","revision":3},"spec":{"x":1}}],
          "hasMore":true,"currentRev":9})",
      2);
  ASSERT_TRUE(Page);
  ASSERT_EQ(Page.value().Objects.size(), 1U);
  EXPECT_EQ(Page.value().Objects.front().Name, "a");
  EXPECT_EQ(Page.value().Objects.front().Specification, R"({"x":1})");
  EXPECT_TRUE(Page.value().HasMore);
  EXPECT_EQ(Page.value().Revision, makeRevision(2, 9));
}

// Guards against one entry that makes the others unavailable because it cannot
// be parsed.
TEST(StoreCodec, UnreadableContentConcernsOneEntryOnly) {
  const std::string Deep =
      std::string(100'000, '{') + std::string(100'000, '}');
  for (const std::string &Odd :
       {Deep, std::string("1e999999"), std::string("\"\\udcff\""),
        std::string("\"\xff\""), std::string("{\"a\":tru}")}) {
    const std::string Entry =
        R"({"metadata":{"name":"odd","revision":2,"finalizers":)" + Odd +
        R"(},"spec":)" + Odd + R"(,"status":)" + Odd + "}";
    const std::string Nameless =
        R"({"metadata":{"name":)" + Odd + R"(,"revision":2},"spec":{}})";
    const std::string Good = R"({"metadata":{"name":"a","revision":3},"spec":)"
                             R"({"x":1},"spec":{"y":2}})";
    const auto Page = decodePage("{\"items\":[" + Entry + "," + Nameless + "," +
                                     Good + "],\"currentRev\":9}",
                                 0);
    ASSERT_TRUE(Page) << Odd.substr(0, 20);
    ASSERT_EQ(Page.value().Objects.size(), 2U);
    EXPECT_EQ(Page.value().Skipped, 1U);
    EXPECT_EQ(Page.value().Objects[0].Name, "odd");
    EXPECT_FALSE(decodeRegistration(Page.value().Objects[0]));
    EXPECT_EQ(Page.value().Objects[1].Specification, R"({"y":2})");
    const auto Changes = decodeChanges(
        R"({"events":[{"object":)" + Entry + R"(,"deleted":false},{"object":)" +
            Nameless + R"(,"deleted":true},{"object":)" + Good +
            R"(,"deleted":true}],"currentRev":9})",
        0);
    ASSERT_TRUE(Changes) << Odd.substr(0, 20);
    ASSERT_EQ(Changes.value().Events.size(), 2U);
    EXPECT_EQ(Changes.value().Skipped, 1U);
    EXPECT_FALSE(Changes.value().Events[0].IsDeleted);
    EXPECT_TRUE(Changes.value().Events[1].IsDeleted);
  }
}

TEST(StoreCodec, DecodesChanges) {
  const auto Changes = decodeChanges(
      R"({"events":[{"deleted":true,"object":{"metadata":
          {"name":"a","revision":4}}}],"currentRev":6})",
      2);
  ASSERT_TRUE(Changes);
  ASSERT_EQ(Changes.value().Events.size(), 1U);
  EXPECT_TRUE(Changes.value().Events.front().IsDeleted);
  EXPECT_FALSE(decodeChanges(R"({"events":[]})", 0));
}

// Guards against a revision of a restored store that counts as older than those
// before the restore.
TEST(StoreCodec, RevisionsOfALaterEraAreHigher) {
  const auto Before = decodePage(R"({"items":[],"currentRev":900})", 1);
  const auto After = decodePage(R"({"items":[],"currentRev":100})", 2);
  ASSERT_TRUE(Before && After);
  EXPECT_GT(After.value().Revision, Before.value().Revision);
  EXPECT_EQ(numberInEra(After.value().Revision), 100U);
  EXPECT_EQ(formatRevision(After.value().Revision), "2:100");
}

TEST(StoreCodec, EraIsAWholeNumber) {
  HttpResponse Response;
  EXPECT_FALSE(decodeEra(Response));
  Response.set("Store-Era", "12");
  EXPECT_EQ(decodeEra(Response), 12U);
  for (const char *Text : {"", "-1", "1.5", "one", "99999999999999999999"}) {
    Response.set("Store-Era", Text);
    EXPECT_FALSE(decodeEra(Response)) << Text;
  }
}

// Guards against an evacuation that is ignored because of what its entry holds.
TEST(StoreCodec, OnlyTheNameOfAnEvacuationCounts) {
  const StoreRevision Revision = makeRevision(2, 6);
  const EvacuationReport Report = decodeEvacuations(
      {{"west", makeRevision(2, 4), "{}"}, {"east", makeRevision(2, 5), "[7"}},
      Revision, true);
  EXPECT_EQ(Report.Revision, Revision);
  EXPECT_EQ(Report.Domains,
            (std::set{FailureDomain("west"), FailureDomain("east")}));
  const EvacuationChange Change = decodeEvacuationChange(
      {{"west", makeRevision(2, 4), ""}, true}, Revision);
  EXPECT_EQ(Change.Domain, FailureDomain("west"));
  EXPECT_EQ(Change.Revision, Revision);
  EXPECT_FALSE(Change.IsEvacuated);
}

// Guards against a limit that is not read, or that odd values turn into one.
TEST(StoreCodec, DecodesWhatColdTargetsBear) {
  const auto Read = decodeConfiguration(
      R"({"version":"r1","routes":[],"services":[
          {"name":"a","coldS":20,"coldPerS":6.5},{"name":"b"},
          {"name":"c","coldS":-1,"coldPerS":-2},
          {"name":"d","coldS":"long","coldPerS":"few"}]})");
  ASSERT_TRUE(Read);
  const auto &Services = Read.value().Services;
  EXPECT_EQ(Services[0].ColdTime, 20s);
  EXPECT_DOUBLE_EQ(Services[0].ColdRate, 6.5);
  for (std::size_t Index = 1; Index < Services.size(); ++Index) {
    EXPECT_EQ(Services[Index].ColdTime, 0s) << Index;
    EXPECT_DOUBLE_EQ(Services[Index].ColdRate, 0) << Index;
  }
}

// Guards against input that crashes the process: arbitrary text, and the
// configuration with some of its bytes changed or cut off.
RC_GTEST_PROP(StoreCodec, AnyTextIsDecodedOrRejected,
              (const std::string &Text)) {
  const bool IsRead = decodeConfiguration(Text) || decodePage(Text, 0) ||
                      decodeChanges(Text, 0) || decodeRegistration(entry(Text));
  // Each decoder needs a JSON object.
  RC_ASSERT(!IsRead || Text.find('{') != std::string::npos);
}

RC_GTEST_PROP(StoreCodec, MutatedConfigurationIsDecodedOrRejected, ()) {
  std::string Text(ConfigurationText);
  const auto Changes = *rc::gen::inRange<std::size_t>(1, 6);
  for (std::size_t Count = 0; Count < Changes; ++Count) {
    const auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[Position] = *rc::gen::arbitrary<char>();
  }
  Text.resize(*rc::gen::inRange<std::size_t>(0, Text.size() + 1));
  const auto Read = decodeConfiguration(Text);
  if (Read)
    for (const Route &Entry : Read.value().Routes)
      RC_ASSERT(!Entry.Services.empty());
}

} // namespace
} // namespace comfreyrill::platform
