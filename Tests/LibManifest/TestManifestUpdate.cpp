#include <LibManifest/ManifestUpdate.h>

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

// Guards against a process that reverts to an older manifest, or replaces the
// manifest in force by another one with the same number, after stale reads,
// duplicate deliveries, lagging peers or restarts.
RC_GTEST_PROP(ManifestUpdateProperties, NumberInForceNeverDecreases, ()) {
  const auto Offers = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(0, 12));
  ManifestNumber InForce;
  std::size_t AcceptedFrom = Offers.size();
  for (std::size_t Index = 0; Index < Offers.size(); ++Index) {
    if (*rc::gen::weightedElement<bool>({{1, true}, {9, false}})) {
      InForce = ManifestNumber{0}; // A restarted process has none.
      continue;
    }
    const ManifestNumber Offered{Offers[Index]};
    const ManifestNumber Before = InForce;
    if (shouldAccept(InForce, Offered)) {
      InForce = Offered;
      AcceptedFrom = Index;
    }
    RC_ASSERT(InForce.Value >= Before.Value);
    RC_ASSERT(InForce.Value >= Offered.Value);
    RC_ASSERT((AcceptedFrom == Index) == (InForce != Before));
  }
}

/// An operator with at most one change in progress.
struct Operator {
  /// Version of the platform's object that the change was made from.
  std::size_t Version = 0;
  ManifestNumber BasedOn;
  std::optional<ManifestEnvelope> Planned;
};

struct Message {
  std::size_t Sender = 0;
  std::size_t Version = 0;
  ManifestEnvelope Planned;
};

struct ReportedFinding {
  ApplyId Apply;
  ApplyFinding Finding;
};

enum class Step {
  Read,
  Send,
  Deliver,
  DeliverTwice,
  LoseResponse,
  Drop,
  ReadAgain
};

/// Model of operators that apply changes concurrently. The network loses,
/// duplicates and delays updates and responses, and reads of the platform may
/// be stale.
struct ApplyModel {
  /// All envelopes that were ever stored. The platform holds the last one.
  std::vector<ManifestEnvelope> Log;
  std::vector<Operator> Operators;
  std::vector<Message> InTransit;
  std::vector<ReportedFinding> Answers;
  std::size_t Applies = 0;

  std::optional<ManifestEnvelope> read(std::size_t Version) const {
    return Version == 0 ? std::nullopt : std::optional(Log[Version - 1]);
  }

  void finish(Operator &Actor, ApplyFinding Finding) {
    if (Finding.Verdict == ApplyVerdict::NotYetApplied)
      return;
    Answers.push_back({Actor.Planned->Apply, std::move(Finding)});
    Actor.Planned.reset();
  }

  void readAgain(Operator &Actor, std::size_t Version) {
    finish(Actor,
           classifyApplyFailure(read(Version), *Actor.Planned, Actor.BasedOn));
  }

  void deliver(std::size_t Position, bool HasResponse) {
    const Message Update = InTransit[Position];
    const bool WasStored = Update.Version == Log.size();
    if (WasStored)
      Log.push_back(Update.Planned);
    Operator &Actor = Operators[Update.Sender];
    if (!HasResponse || !Actor.Planned ||
        Actor.Planned->Apply != Update.Planned.Apply)
      return;
    if (WasStored)
      finish(Actor, {ApplyVerdict::InForce, Update.Planned.Number,
                     Update.Planned.Number, ""});
    else
      readAgain(Actor, Log.size());
  }

  void run(Step Kind, std::size_t Selector, std::size_t Staleness) {
    const std::size_t Index = Selector % Operators.size();
    const std::size_t Version = Log.size() - std::min(Staleness, Log.size());
    Operator &Actor = Operators[Index];
    if (Kind == Step::Read && !Actor.Planned) {
      const auto Read = read(Version);
      Actor.Version = Version;
      Actor.BasedOn = Read ? Read->Number : ManifestNumber{0};
      Actor.Planned = planApply(Read, Actor.BasedOn, {},
                                ApplyId(std::to_string(++Applies)), {})
                          .value();
    } else if (Kind == Step::Send && Actor.Planned) {
      InTransit.push_back({Index, Actor.Version, *Actor.Planned});
    } else if (Kind == Step::ReadAgain && Actor.Planned) {
      readAgain(Actor, Version);
    } else if (!InTransit.empty() && Kind >= Step::Deliver) {
      const std::size_t Position = Selector % InTransit.size();
      if (Kind != Step::Drop)
        deliver(Position, Kind != Step::LoseResponse);
      if (Kind == Step::Deliver || Kind == Step::Drop)
        InTransit.erase(InTransit.begin() +
                        static_cast<std::ptrdiff_t>(Position));
    }
  }
};

// Guards against two changes with the same number, an operator who is not told
// that the change lost, success reported for a change that is not in the
// history, and a conflict reported for a change that took effect.
RC_GTEST_PROP(ManifestUpdateProperties, RacesHaveOneWinnerForEachNumber, ()) {
  ApplyModel Model;
  Model.Operators.resize(*rc::gen::inRange<std::size_t>(2, 6));
  const auto Steps = *rc::gen::container<std::vector<int>>(
      600, rc::gen::inRange(0, 7 * 1000 * 8));
  for (const int Choice : Steps)
    Model.run(static_cast<Step>(Choice % 7),
              static_cast<std::size_t>(Choice / 7 % 1000),
              static_cast<std::size_t>(Choice) / 7000 / 4 * 3);
  while (!Model.InTransit.empty())
    Model.run(Step::Deliver, Model.InTransit.size() - 1, 0);
  for (Operator &Actor : Model.Operators)
    if (Actor.Planned)
      Model.readAgain(Actor, Model.Log.size());

  std::map<std::string, ManifestNumber> Stored;
  for (std::size_t Index = 0; Index < Model.Log.size(); ++Index) {
    const ManifestEnvelope &Envelope = Model.Log[Index];
    RC_ASSERT(Envelope.Number.Value == Index + 1);
    RC_ASSERT(Envelope.History.size() <= ApplyHistoryLength);
    RC_ASSERT(Stored.emplace(Envelope.Apply.Value, Envelope.Number).second);
  }
  for (const ReportedFinding &Answer : Model.Answers) {
    const auto Own = Stored.find(Answer.Apply.Value);
    const ApplyVerdict Verdict = Answer.Finding.Verdict;
    if (Verdict == ApplyVerdict::InForce || Verdict == ApplyVerdict::Superseded)
      RC_ASSERT(Own != Stored.end() && Own->second == Answer.Finding.Own);
    else if (Verdict == ApplyVerdict::Conflict)
      RC_ASSERT(Own == Stored.end());
    Stored.erase(Answer.Apply.Value);
  }
  // A change that took effect is reported as such, unless its operator never
  // got a response.
  for (const Operator &Actor : Model.Operators)
    if (Actor.Planned)
      RC_ASSERT(!Stored.contains(Actor.Planned->Apply.Value));
  RC_ASSERT(Stored.empty());
}

ManifestEnvelope envelope(std::uint64_t Number, const std::string &Apply) {
  ManifestEnvelope Out;
  Out.Number = ManifestNumber{Number};
  Out.Apply = ApplyId(Apply);
  return Out;
}

// Guards against reporting a conflict or success when the change may have been
// dropped from the history.
TEST(ManifestUpdate, ReportsUnknownWhenTheHistoryIsTooShort) {
  auto Current = std::optional(envelope(1, "other"));
  const auto Planned =
      planApply(Current, ManifestNumber{1}, {}, ApplyId("own"), {}).value();
  EXPECT_EQ(Planned.Number, ManifestNumber{2});
  for (std::uint64_t Number = 2; Number <= 34; ++Number) {
    const auto Verdict =
        classifyApplyFailure(Current, Planned, ManifestNumber{1}).Verdict;
    EXPECT_EQ(Verdict, Number == 2 ? ApplyVerdict::NotYetApplied
                                   : ApplyVerdict::Conflict);
    Current = planApply(Current, ManifestNumber{Number - 1}, {},
                        ApplyId("n" + std::to_string(Number)), {})
                  .value();
  }
  Current =
      planApply(Current, ManifestNumber{34}, {}, ApplyId("z"), {}).value();
  EXPECT_EQ(classifyApplyFailure(Current, Planned, ManifestNumber{1}).Verdict,
            ApplyVerdict::Unknown);
}

// Guards against a conflict message that does not tell the operator what to do.
TEST(ManifestUpdate, ConflictNamesTheNumberInForceAndTheRemedy) {
  const auto Plan =
      planApply(envelope(43, "x"), ManifestNumber{42}, {}, ApplyId("own"), {});
  ASSERT_FALSE(Plan.has_value());
  EXPECT_EQ(Plan.error().Kind, ErrorKind::Conflict);
  EXPECT_EQ(Plan.error().Message,
            "the change was made from manifest 42, but manifest 43 is in "
            "force; fetch it, repeat the change there, and apply with "
            "--based-on 43");
}

// Guards against a number that all hosts ignore after the platform has lost its
// object or was restored from an old backup.
TEST(ManifestUpdate, NumbersStayAboveThoseInForceOnHosts) {
  const auto Created = planApply(std::nullopt, ManifestNumber{0}, {},
                                 ApplyId("own"), ManifestNumber{43});
  EXPECT_EQ(Created.value().Number, ManifestNumber{44});
  const auto Restored = planApply(envelope(40, "x"), ManifestNumber{40}, {},
                                  ApplyId("own"), ManifestNumber{43});
  EXPECT_EQ(Restored.value().Number, ManifestNumber{44});
  EXPECT_EQ(planApply(std::nullopt, ManifestNumber{0}, {}, ApplyId("own"),
                      ManifestNumber{~0ULL >> 1})
                .error()
                .Kind,
            ErrorKind::Internal);
}

} // namespace
} // namespace comfreyrill
