#include "ClientFixture.h"

#include <boost/json/parse.hpp>

namespace comfreyrill {
namespace {

/// A host's response for a service without a free slot.
std::string response(const std::string &Outcome) {
  return R"({"version":"0.1.0","host":"h1","domain":"west","draining":false,
    "configuration_version":3,
    "route":{"name":"only","host":"a.example","path_prefix":"/x/",
      "semantics":"idempotent","public":false,"priority":1,
      "latency_objective_ms":400,"timeout_ms":1000},
    "services":[{"name":"stock","share":1}],
    "account":{"name":"alder","rate_per_s":100,"burst":10,
      "token":{"state":"available","held":3,"refused_for_ms":0,"owner":"h7",
        "owned_here":false}},
    "service":"stock","expected_time_ms":90,
    "targets":[
      {"id":"i-1","domain":"west","use":"candidate","latency_factor":2.04,
       "load":{"in_flight":6,"slots":6,"queued":1,"slowdown":1,"age_ms":120}},
      {"id":"i-2","domain":"west","use":"excluded","reason":"paused",
       "for_ms":30000},
      {"id":"i-3","domain":"east","use":"excluded","reason":"other_domain",
       "domain_reason":"own_domain_has_room"}],
    "outcome":)" +
         Outcome + "}";
}

const std::string Held =
    R"({"result":"hold","reason":"no_free_slot","likelihood":1,
      "probed_first":[{"target":"i-1","share":1}],
      "selected":[{"target":"i-1","share":1}],"held_for_ms":140,
      "then":{"reason":"overloaded","status":503,"retry_after_s":0.25}})";

std::string refused(const std::string &Reason, int Status) {
  return R"({"result":"refuse","reason":")" + Reason + R"(","status":)" +
         std::to_string(Status) + "}";
}

class ExplainTest : public ClientTest {
protected:
  ExplainTest() {
    Options.Explain.Gateway = Host.endpoint();
    Options.Explain.Method = "GET";
    Options.Explain.Host = "a.example";
    Options.Explain.Path = "/x/1";
  }

  ExitCode explain(const std::string &Outcome) {
    Host.ResponseBodies["/explain"] = response(Outcome);
    return run(Command::Explain);
  }
};

// Guards against findings that are lost, out of order or without their cause.
TEST_F(ExplainTest, TextHasOneLineForEachFinding) {
  EXPECT_EQ(explain(Held), ExitCode::Done) << ErrorOutput;
  EXPECT_EQ(
      Output,
      "host h1 (west): configuration 3\n"
      "route only: a.example/x/, idempotent, priority 1, objective 400 ms, "
      "timeout 1 s\n"
      "account alder: 100 requests/s, burst 10; a token is available, 3 held, "
      "owned by h7\n"
      "service stock: expected time 90 ms\n"
      "target i-1 (west): candidate, latency factor 2.04, 6 of 6 slots busy, "
      "1 queued, slowdown 1, 120 ms ago\n"
      "target i-2 (west): not used, because it is paused or resumes after a "
      "pause, for 30 s, load not known\n"
      "target i-3 (east): not used, because the request may not use its domain "
      "(the own domain has room), load not known\n"
      "probed first: i-1 100%\n"
      "selected by the known loads: i-1 100%\n"
      "The request would be held for up to 140 ms and then, if nothing "
      "changes, refused with 503 (overloaded) and Retry-After 250 ms, because "
      "no target that is probed has a free slot that is fast enough.\n");
  EXPECT_EQ(Host.Requests, std::vector<std::string>{"POST /explain"});
}

// Guards against JSON that differs from the host's response.
TEST_F(ExplainTest, JsonIsTheResponseOfTheHost) {
  Options.Json = true;
  EXPECT_EQ(explain(Held), ExitCode::Done);
  EXPECT_EQ(Output, response(Held));
}

// Guards against errors that scripts cannot tell apart.
TEST_F(ExplainTest, EachErrorHasItsExitCode) {
  EXPECT_EQ(explain(refused("no_route", 404)), ExitCode::NotFound);
  EXPECT_NE(ErrorOutput.find("--path"), std::string::npos);
  EXPECT_EQ(explain(refused("unknown_key", 401)), ExitCode::UnknownAccount);
  EXPECT_NE(ErrorOutput.find("key"), std::string::npos);
  EXPECT_EQ(explain(refused("unknown_account", 401)), ExitCode::UnknownAccount);
  EXPECT_NE(ErrorOutput.find("--account"), std::string::npos);
  EXPECT_EQ(explain(refused("allotment_used_up", 429)), ExitCode::Done);
  EXPECT_NE(Output.find("429 (allotment_used_up), because the account has "
                        "used up its allotment."),
            std::string::npos)
      << Output;
  Host.close();
  EXPECT_EQ(explain(Held), ExitCode::Unavailable);
  EXPECT_NE(ErrorOutput.find("metrics_address"), std::string::npos);
}

// Guards against a response of another version that looks like an explanation,
// such as the metrics that earlier hosts answer every path with.
TEST_F(ExplainTest, UnreadableResponseNamesTheVersions) {
  Host.ResponseBodies["/explain"] = "comfreyrill_targets 3\n";
  EXPECT_EQ(run(Command::Explain), ExitCode::InvalidInput);
  EXPECT_NE(ErrorOutput.find("client version " + clientVersion() +
                             ", host version unknown"),
            std::string::npos)
      << ErrorOutput;
  EXPECT_EQ(Output, "");
}

// Guards against a key on the command line, where other users can read it, and
// against an account that is ignored beside a key.
TEST_F(ExplainTest, ArgumentsNameOneAccountAndNoKey) {
  const std::vector<std::string> Required{"explain", "--gateway=127.0.0.1:9",
                                          "--method=PUT", "--host=a.example",
                                          "--path=/x/1"};
  const auto Parse = [&](std::vector<std::string> More) {
    More.insert(More.begin(), Required.begin(), Required.end());
    return parseArguments(More);
  };
  const auto Parsed = Parse({"--body-bytes=60000", "--key-from-stdin"});
  ASSERT_TRUE(Parsed) << Parsed.error().Message;
  const ExplainOptions &Explain = Parsed.value().Explain;
  EXPECT_EQ(Parsed.value().Name, Command::Explain);
  EXPECT_EQ(Explain.Gateway, (Endpoint{"127.0.0.1", 9}));
  EXPECT_EQ(Explain.Method, "PUT");
  EXPECT_EQ(Explain.Host, "a.example");
  EXPECT_EQ(Explain.Path, "/x/1");
  EXPECT_EQ(Explain.BodyBytes, 60'000U);
  EXPECT_TRUE(Explain.ReadsKey);
  EXPECT_EQ(Parse({"--account=alder"}).value().Explain.Account, "alder");
  EXPECT_FALSE(Parse({"--account=alder", "--key-from-stdin"}));
  EXPECT_FALSE(Parse({"--key=secret"}));
  EXPECT_FALSE(Parse({"--body-bytes=-1"}));
  EXPECT_FALSE(parseArguments({"explain", "--gateway=127.0.0.1:9"}));
}

// Guards against a request without the key that was piped in.
TEST_F(ExplainTest, KeyComesFromStandardInput) {
  Options.Explain.ReadsKey = true;
  Input = "";
  EXPECT_EQ(explain(Held), ExitCode::Usage);
  EXPECT_TRUE(Host.Requests.empty());
  Input = "key-of-alder\r";
  EXPECT_EQ(explain(Held), ExitCode::Done);
  EXPECT_EQ(boost::json::parse(Host.LastBody).at("key").as_string(),
            "key-of-alder");
  EXPECT_EQ((Output + ErrorOutput).find("key-of-alder"), std::string::npos);
}

} // namespace
} // namespace comfreyrill
