#include "ClientFixture.h"

#include <boost/json/parse.hpp>

namespace comfreyrill {
namespace {

class CommandTest : public ClientTest {};

// Guards against a manifest printed by fetch that check or apply refuse.
TEST_F(CommandTest, FetchPrintsAManifestThatCanBeApplied) {
  EXPECT_EQ(run(Command::Fetch), ExitCode::NotFound);
  applyElsewhere("one");
  EXPECT_EQ(run(Command::Fetch), ExitCode::Done);
  EXPECT_EQ(Printed, formatManifest(sample()));
  Options.Json = true;
  EXPECT_EQ(run(Command::Fetch), ExitCode::Done);
  EXPECT_EQ(boost::json::parse(Printed).at("number").as_int64(), 1);
}

// Guards against read-only commands that need the platform, and against a
// failure that names neither its cause nor its remedy.
TEST_F(CommandTest, ReadsWorkWhileThePlatformIsDown) {
  applyElsewhere("one");
  Host.Answers["/v1/manifest"] = Platform.Objects["manifest"].Value;
  setHosts(1, 1);
  Platform.close();
  Options.Timeout = std::chrono::milliseconds(400);
  for (const Command Name :
       {Command::Fetch, Command::Status, Command::Targets, Command::Hosts})
    EXPECT_EQ(run(Name), ExitCode::Done) << Complaints;
  Host.close();
  for (const Command Name :
       {Command::Fetch, Command::Status, Command::Targets, Command::Hosts}) {
    EXPECT_EQ(run(Name), ExitCode::Unavailable);
    EXPECT_NE(Complaints.find("--host"), std::string::npos) << Complaints;
    EXPECT_NE(Complaints.find("Connection refused"), std::string::npos)
        << Complaints;
  }
}

// Guards against a late host that is not shown, or a lost one shown as late.
TEST_F(CommandTest, StatusShowsLateHosts) {
  applyElsewhere("one");
  applyElsewhere("two");
  setHosts(2, 1);
  EXPECT_EQ(run(Command::Status), ExitCode::LateHosts);
  EXPECT_EQ(Printed, "manifest 2, 1 of 2 hosts late\n"
                     "HOST  STATE  MANIFEST  LATE\n"
                     "h1    ready  2\n"
                     "h2    ready  1         late\n");
  setHosts(2, 1, "lost");
  EXPECT_EQ(run(Command::Status), ExitCode::Done);
}

// Guards against a status that cannot be read without a known host.
TEST_F(CommandTest, StatusFallsBackToTheReport) {
  Options.Hosts.clear();
  Platform.Objects["report"] = {
      ObjectVersion{1},
      R"({"hosts":[{"host":"h9","incarnation":"0000000000000001","state":"ready",
          "manifest_number":3,"admin_address":")" +
          formatEndpoint(Host.endpoint()) + R"("}]})"};
  EXPECT_EQ(run(Command::Status), ExitCode::Done) << Complaints;
  EXPECT_NE(Printed.find("h9"), std::string::npos);
  EXPECT_EQ(run(Command::Targets), ExitCode::Done) << Complaints;
  EXPECT_NE(Printed.find("draining"), std::string::npos);
}

// Guards against JSON that pipelines cannot read.
TEST_F(CommandTest, JsonIsOneObject) {
  Options.Json = true;
  applyElsewhere("one");
  setHosts(1, 1);
  for (const Command Name :
       {Command::Check, Command::Fetch, Command::Status, Command::Targets,
        Command::Hosts, Command::Version, Command::Apply}) {
    EXPECT_EQ(run(Name), ExitCode::Done) << Complaints;
    EXPECT_TRUE(boost::json::parse(Printed).is_object()) << Printed;
  }
  Options.File = "/nonexistent";
  EXPECT_EQ(run(Command::Check), ExitCode::InvalidInput);
  EXPECT_EQ(boost::json::parse(Complaints).at("error").as_string(),
            "invalid_input");
}

// Guards against draining another host than the one named.
TEST_F(CommandTest, DrainFindsTheHost) {
  Host.Answers["/v1/drain"] = "";
  Options.Host = "h1";
  EXPECT_EQ(run(Command::Drain), ExitCode::Done) << Complaints;
  EXPECT_EQ(Host.Requests.back(), "POST /v1/drain");
  Options.Host = "h3";
  EXPECT_EQ(run(Command::Drain), ExitCode::NotFound);
  EXPECT_NE(Complaints.find("known hosts: h1, h2"), std::string::npos);
  Host.close();
  Options.Host = formatEndpoint(Host.endpoint());
  EXPECT_EQ(run(Command::Drain), ExitCode::Unavailable);
}

// Guards against lines that are lost or repeated between two pages, and
// against a log that never ends without --follow.
TEST_F(CommandTest, LogPrintsEachLineOnce) {
  Options.Host = formatEndpoint(Host.endpoint());
  Host.Answers["/v1/decisions"] = R"({"next":2,"lines":["one","two"]})";
  Host.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 2)
      Host.Answers["/v1/decisions"] = R"({"next":2,"lines":[]})";
  };
  EXPECT_EQ(run(Command::Log), ExitCode::Done) << Complaints;
  EXPECT_EQ(Printed, "one\ntwo\n");
  EXPECT_EQ(Host.Requests.back(), "GET /v1/decisions?after=2&timeout_ms=0");
}

// Guards against following that ends with the first page.
TEST_F(CommandTest, LogFollowsUntilTheHostIsGone) {
  Options.Host = formatEndpoint(Host.endpoint());
  Options.Follow = true;
  Host.Answers["/v1/decisions"] = R"({"next":1,"lines":["one"]})";
  Host.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 3)
      Host.close();
  };
  EXPECT_EQ(run(Command::Log), ExitCode::Unavailable);
  EXPECT_EQ(Printed, "one\none\n");
}

} // namespace
} // namespace comfreyrill
