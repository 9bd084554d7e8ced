#include "ClientFixture.h"

namespace comfreyrill {
namespace {

class ApplyTest : public ClientTest {};

// Guards against a first manifest that cannot be created, and a second one that
// loses the history.
TEST_F(ApplyTest, AppliesOneAfterAnother) {
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << Complaints;
  EXPECT_EQ(Printed, "manifest 1 is in force\n");
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << Complaints;
  EXPECT_EQ(stored().Number, ManifestNumber{2});
  EXPECT_EQ(stored().History.size(), 1U);
}

// Guards against an invalid file that reaches the platform.
TEST_F(ApplyTest, InvalidFileChangesNothing) {
  Options.File = "/nonexistent/manifest.json";
  EXPECT_EQ(run(Command::Apply), ExitCode::InvalidInput);
  EXPECT_EQ(Platform.Calls, 0U);
  EXPECT_NE(Complaints.find("cannot open"), std::string::npos);
}

// Guards against a change made from an old manifest that undoes a later one.
TEST_F(ApplyTest, ConflictNamesTheNumberInForce) {
  applyElsewhere("one");
  applyElsewhere("two");
  Options.BasedOn = ManifestNumber{1};
  EXPECT_EQ(run(Command::Apply), ExitCode::Conflict);
  EXPECT_NE(Complaints.find("manifest 2 is in force"), std::string::npos);
  EXPECT_NE(Complaints.find("--based-on 2"), std::string::npos);
  EXPECT_EQ(stored().Apply, ApplyId("two"));
}

// Guards against two operators who are both told that they have won when one
// changes the manifest between the other's read and update.
TEST_F(ApplyTest, LosesARaceAndSaysSo) {
  applyElsewhere("one");
  Platform.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 2)
      applyElsewhere("two");
  };
  EXPECT_EQ(run(Command::Apply), ExitCode::Conflict);
  EXPECT_EQ(stored().Apply, ApplyId("two"));
}

// Guards against a lost answer that is reported as a failure or applied twice.
TEST_F(ApplyTest, RecognisesItsOwnChange) {
  applyElsewhere("one");
  Options.Json = true;
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal,
                   FakeBehaviour::LoseAnswer};
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << Complaints;
  EXPECT_EQ(stored().Number, ManifestNumber{2});
  EXPECT_NE(Printed.find(R"("result": "in_force")"), std::string::npos)
      << Printed;
}

// Guards against a lost answer whose change was replaced at once by another
// operator's, which would look like a conflict.
TEST_F(ApplyTest, RecognisesItsOwnChangeInTheHistory) {
  applyElsewhere("one");
  Options.Json = true;
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal,
                   FakeBehaviour::LoseAnswer};
  Platform.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 4)
      applyElsewhere("three");
  };
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << Complaints;
  EXPECT_NE(Printed.find(R"("result": "superseded")"), std::string::npos)
      << Printed;
  EXPECT_EQ(stored().Number, ManifestNumber{3});
}

// Guards against giving up on an update that never arrived.
TEST_F(ApplyTest, SendsAgainWhatWasNotStored) {
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal,
                   FakeBehaviour::Ignore};
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << Complaints;
  EXPECT_EQ(stored().Number, ManifestNumber{1});
}

// Guards against calling a change failed, or in force, when nobody knows.
TEST_F(ApplyTest, TellsUnavailableFromUnknown) {
  Options.Timeout = std::chrono::milliseconds(400);
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal};
  Platform.Default = FakeBehaviour::Refuse;
  EXPECT_EQ(run(Command::Apply), ExitCode::Unavailable);
  Platform.Next = {FakeBehaviour::Normal, FakeBehaviour::Normal,
                   FakeBehaviour::LoseAnswer};
  EXPECT_EQ(run(Command::Apply), ExitCode::OutcomeUnknown);
  EXPECT_NE(Complaints.find(stored().Apply.Value), std::string::npos)
      << Complaints;
}

// Guards against a number that hosts ignore because the platform lost its
// object while they kept theirs.
TEST_F(ApplyTest, StaysAboveTheHosts) {
  setHosts(43, 42);
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << Complaints;
  EXPECT_EQ(stored().Number, ManifestNumber{44});
}

// Guards against a wait that ends before every host has the manifest, waits for
// lost hosts, or hides which hosts are late.
TEST_F(ApplyTest, WaitsForAllHosts) {
  Options.Wait = true;
  Host.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 3)
      setHosts(1, 0, "lost");
  };
  EXPECT_EQ(run(Command::Apply), ExitCode::Done) << Complaints;
  EXPECT_EQ(Printed, "manifest 1 is in force on all hosts\n");
  Options.Timeout = std::chrono::milliseconds(300);
  Host.BeforeCall = [&, Calls = 0]() mutable {
    if (++Calls == 2)
      setHosts(2, 1);
  };
  EXPECT_EQ(run(Command::Apply), ExitCode::LateHosts);
  EXPECT_NE(Complaints.find("late: h2"), std::string::npos) << Complaints;
}

} // namespace
} // namespace comfreyrill
