#include "ClientFixture.h"

namespace comfreyrill {
namespace {

class ApplyTest : public ClientTest {};

// Guards against a first manifest that cannot be created, and against a second
// one that drops the history.
TEST_F(ApplyTest, AppliesSuccessiveManifests) {
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << ErrorOutput;
  EXPECT_EQ(Output, "manifest 1 is in force\n");
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << ErrorOutput;
  EXPECT_EQ(storedEnvelope().Number, ManifestNumber{2});
  EXPECT_EQ(storedEnvelope().History.size(), 1U);
}

// Guards against requests to the platform when the manifest file cannot be
// read.
TEST_F(ApplyTest, UnreadableFileSendsNoRequest) {
  Options.File = "/nonexistent/manifest.json";
  EXPECT_EQ(run(Command::Apply), ExitCode::InvalidInput);
  EXPECT_EQ(Platform.Calls, 0U);
  EXPECT_NE(ErrorOutput.find("cannot open"), std::string::npos);
}

// Guards against a change based on an old manifest overwriting a later one.
TEST_F(ApplyTest, ConflictNamesTheNumberInForce) {
  applyAsOtherOperator("one");
  applyAsOtherOperator("two");
  Options.BasedOn = ManifestNumber{1};
  EXPECT_EQ(run(Command::Apply), ExitCode::Conflict);
  EXPECT_NE(ErrorOutput.find("manifest 2 is in force"), std::string::npos);
  EXPECT_NE(ErrorOutput.find("--based-on 2"), std::string::npos);
  EXPECT_EQ(storedEnvelope().Apply, ApplyId("two"));
}

// Guards against reporting success to two operators when one changes the
// manifest between the other's read and update.
TEST_F(ApplyTest, ReportsConflictWithConcurrentApply) {
  applyAsOtherOperator("one");
  Platform.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 2)
      applyAsOtherOperator("two");
  };
  EXPECT_EQ(run(Command::Apply), ExitCode::Conflict);
  EXPECT_EQ(storedEnvelope().Apply, ApplyId("two"));
}

// Guards against reporting a change as failed, or applying it twice, when the
// response to the update is lost.
TEST_F(ApplyTest, ConfirmsChangeAfterLostResponse) {
  applyAsOtherOperator("one");
  Options.Json = true;
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal,
                   FakeBehaviour::LoseAnswer};
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << ErrorOutput;
  EXPECT_EQ(storedEnvelope().Number, ManifestNumber{2});
  EXPECT_NE(Output.find(R"("result": "in_force")"), std::string::npos)
      << Output;
}

// Guards against reporting a conflict when the response to the update is lost
// and another operator replaces the manifest before it is read again.
TEST_F(ApplyTest, FindsSupersededChangeInHistory) {
  applyAsOtherOperator("one");
  Options.Json = true;
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal,
                   FakeBehaviour::LoseAnswer};
  Platform.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 4)
      applyAsOtherOperator("three");
  };
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << ErrorOutput;
  EXPECT_NE(Output.find(R"("result": "superseded")"), std::string::npos)
      << Output;
  EXPECT_EQ(storedEnvelope().Number, ManifestNumber{3});
}

// Guards against failing instead of resending an update that was not stored.
TEST_F(ApplyTest, ResendsUpdateThatWasNotStored) {
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal,
                   FakeBehaviour::Ignore};
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << ErrorOutput;
  EXPECT_EQ(storedEnvelope().Number, ManifestNumber{1});
}

// Guards against reporting a change as failed or in force when its outcome is
// unknown.
TEST_F(ApplyTest, DistinguishesUnavailableFromUnknown) {
  Options.Timeout = std::chrono::milliseconds(400);
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal};
  Platform.Default = FakeBehaviour::Refuse;
  EXPECT_EQ(run(Command::Apply), ExitCode::Unavailable);
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal,
                   FakeBehaviour::LoseAnswer};
  EXPECT_EQ(run(Command::Apply), ExitCode::OutcomeUnknown);
  EXPECT_NE(ErrorOutput.find(storedEnvelope().Apply.Value), std::string::npos)
      << ErrorOutput;
}

// Guards against a manifest number that hosts ignore because it is below
// theirs, after the platform lost its object.
TEST_F(ApplyTest, NumberExceedsThoseOnHosts) {
  setHostStatus(43, 42);
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << ErrorOutput;
  EXPECT_EQ(storedEnvelope().Number, ManifestNumber{44});
}

// Guards against apply --wait returning before every host has the manifest,
// waiting for lost hosts, or not naming the late hosts.
TEST_F(ApplyTest, WaitsForAllHosts) {
  Options.Wait = true;
  Host.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 3)
      setHostStatus(1, 0, "lost");
  };
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << ErrorOutput;
  EXPECT_EQ(Output, "manifest 1 is in force on all hosts\n");
  Options.Timeout = std::chrono::milliseconds(300);
  Host.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 2)
      setHostStatus(2, 1);
  };
  EXPECT_EQ(run(Command::Apply), ExitCode::LateHosts);
  EXPECT_NE(ErrorOutput.find("late: h2"), std::string::npos) << ErrorOutput;
}

} // namespace
} // namespace comfreyrill
