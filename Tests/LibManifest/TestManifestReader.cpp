#include <LibManifest/ManifestReader.h>

#include <LibManifest/FleetList.h>
#include <LibManifest/HostReport.h>
#include <LibManifest/ManifestWriter.h>
#include <LibManifest/PlatformLimits.h>

#include "GenerateManifest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

std::vector<std::string> faultsOf(std::string_view Text) {
  JsonDocument Document(Text);
  readManifest(Document, Document.root());
  EXPECT_FALSE(Document.finish("manifest").has_value()) << Text;
  std::vector<std::string> Lines;
  for (const JsonFault &Fault : Document.faults())
    Lines.push_back(formatFault(Fault));
  return Lines;
}

std::string target(const std::string &Id, int Port,
                   const std::string &More = "") {
  return R"({"id":")" + Id + R"(","address":"127.0.0.1:)" +
         std::to_string(Port) + R"(","failure_domain":"a","slots":6)" + More +
         "}";
}

std::string service(const std::string &Name, const std::string &Targets,
                    const std::string &More = "") {
  return R"({"name":")" + Name + R"(","targets":[)" + Targets + "]" + More +
         "}";
}

std::string manifest(const std::string &Services,
                     const std::string &More = "") {
  return R"({"services":[)" + Services + "]" + More + "}";
}

// Guards against parser defaults that differ from the defaults of the structs.
TEST(ManifestReader, UsesTheDefaultsOfTheStructs) {
  const auto Parsed = parseManifest(manifest(service("s", target("t", 1))));
  ASSERT_TRUE(Parsed.has_value()) << Parsed.error().Message;
  Manifest Expected;
  ServiceConfig Service;
  Service.Name = ServiceName("s");
  Service.Targets.push_back(
      {TargetId("t"), {"127.0.0.1", 1}, FailureDomain("a"), 6});
  Expected.Services.push_back(Service);
  EXPECT_EQ(Parsed.value(), Expected);
}

// Guards against a manifest with duplicate names, ids or addresses, within a
// service or across services.
TEST(ManifestReader, RejectsDuplicates) {
  EXPECT_EQ(
      faultsOf(manifest(service("s", target("t", 1) + "," + target("t", 2)) +
                        "," + service("s", target("u", 1)))),
      (std::vector<std::string>{
          R"(services[0].targets[1].id: found "t" again, allowed: a unique id )"
          R"(for each target; it is used at services[0].targets[0].id)",
          R"(services[1].name: found "s" again, allowed: a unique name for )"
          R"(each service; it is used at services[0].name)",
          R"(services[1].targets[0].address: found "127.0.0.1:1" again, )"
          R"(allowed: a unique address for each target; it is used at )"
          R"(services[0].targets[0].address)"}));
}

// Guards against a target to which some host can never connect, or whose slots
// can never all be in use.
TEST(ManifestReader, RejectsTooFewConnections) {
  EXPECT_EQ(faultsOf(manifest(
                service("s", target("t", 1, R"(,"max_connections":16)") + "," +
                                 target("u", 2, R"(,"max_connections":17)")),
                R"(,"hosts_maximum":17)")),
            (std::vector<std::string>{
                "services[0].targets[0].max_connections: found 16, allowed: at "
                "least 17, one for each of hosts_maximum"}));
  EXPECT_EQ(
      faultsOf(manifest(service("s", target("t", 1, R"(,"max_connections":5)")),
                        R"(,"hosts_maximum":1)")),
      (std::vector<std::string>{
          "services[0].targets[0].max_connections: found 5, allowed: at "
          "least 6, one for each of slots"}));
}

// Guards against contradictory timeouts and operations that no request can
// match.
TEST(ManifestReader, RejectsContradictions) {
  const auto Lines = faultsOf(
      manifest(service("s", target("t", 1),
                       R"(,"default_timeout_ms":2000,"maximum_timeout_ms":1000,
          "hedge":{"minimum_delay_ms":1000},
          "operations":[
            {"method":"POST","path_prefix":"/a","idempotent":true},
            {"method":"GET","path_prefix":"/a/b","idempotent":false},
            {"method":"POST","path_prefix":"/a/b","idempotent":false}])")));
  ASSERT_EQ(Lines.size(), 3U);
  EXPECT_TRUE(Lines[0].starts_with("services[0].operations[2].path_prefix: "));
  EXPECT_TRUE(Lines[1].starts_with("services[0].default_timeout_ms: "));
  EXPECT_TRUE(Lines[2].starts_with("services[0].hedge.minimum_delay_ms: "));
}

// Guards against an empty list that would make a service unavailable to
// callers.
TEST(ManifestReader, RejectsEmptyLists) {
  EXPECT_EQ(faultsOf(manifest("")),
            (std::vector<std::string>{
                "services: found an array of 0, allowed: an array of at "
                "least 1"}));
  EXPECT_EQ(faultsOf(manifest(service("s", ""))),
            (std::vector<std::string>{
                "services[0].targets: found an array of 0, allowed: an array "
                "of at least 1"}));
}

// Guards against false faults: when a value is invalid, a check across fields
// must not use its default instead.
TEST(ManifestReader, ReportsNoConsequentialFaults) {
  EXPECT_EQ(faultsOf(manifest(service("s", target("t", 1),
                                      R"(,"default_timeout_ms":"2 s",
                                          "maximum_timeout_ms":1000)")))
                .size(),
            1U);
  EXPECT_EQ(
      faultsOf(manifest(service("s", target("t", 1, R"(,"max_connections":9)")),
                        R"(,"hosts_maximum":"9")"))
          .size(),
      1U);
}

// Guards against a manifest that changes when it is written and read back.
RC_GTEST_PROP(ManifestProperties, IsPreservedByWritingAndReading, ()) {
  const Manifest Original = generateManifest();
  const auto Parsed = parseManifest(formatManifest(Original));
  if (!Parsed)
    RC_FAIL(Parsed.error().Message);
  RC_ASSERT(Parsed.value() == Original);
}

// Guards against a fleet list that marks the wrong machines as leaving, against
// accepting a damaged entry, and against rejecting a field that a later
// platform version has added.
TEST(FleetList, ParsesAndValidatesMachines) {
  const FleetList Fleet{{{HostId("h1"), "127.0.0.1", FleetState::Leaving},
                         {HostId("h1"), "127.0.0.2", FleetState::Live},
                         {HostId("h2"), "127.0.0.1", FleetState::Live},
                         {HostId("h3"), "::1", FleetState::Leaving}}};
  EXPECT_EQ(parseFleetList(formatFleetList(Fleet)).value(), Fleet);
  EXPECT_FALSE(Fleet.isLeaving("127.0.0.1"));
  EXPECT_TRUE(Fleet.isLeaving("::1"));
  EXPECT_FALSE(Fleet.isLeaving("127.0.0.9"));
  const auto Long = parseFleetList(
      R"({"hosts":[{"host":"a","address":"0:0::1","state":"leaving","x":1}]})");
  EXPECT_TRUE(Long.value().isLeaving("::1"));
  const auto Faulty = parseFleetList(
      R"({"hosts":[{"host":"a","address":"127.0.0.1","state":"live"},
                   {"host":"a","address":"127.0.0.1","state":"leaving"},
                   {"host":"b","address":"127.0.0.1:80","state":"gone"}]})");
  ASSERT_FALSE(Faulty.has_value());
  for (const char *Path :
       {"hosts[1]: ", "hosts[2].address: ", "hosts[2].state: "})
    EXPECT_NE(Faulty.error().Message.find(Path), std::string::npos) << Path;
}

// Guards against incarnations that lose digits as JSON numbers.
TEST(HostReport, IsPreservedByWritingAndReading) {
  const HostReport Report{{{HostId("h"), HostIncarnation{~0ULL}, "ready",
                            ManifestNumber{7}, Endpoint{"127.0.0.1", 7201}}}};
  EXPECT_EQ(parseHostReport(formatHostReport(Report)).value(), Report);
}

} // namespace
} // namespace comfreyrill
