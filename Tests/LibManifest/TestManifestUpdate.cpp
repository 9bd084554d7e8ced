#include <LibManifest/ManifestUpdate.h>

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

// Guards against a process that reverts to an older manifest, or replaces the
// one in force by another of the same number, after stale reads, duplicate
// deliveries, peers that lag and restarts.
RC_GTEST_PROP(ManifestUpdateProperties, NumberInForceNeverFalls, ()) {
  const auto Offers = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(0, 12));
  ManifestNumber InForce;
  std::size_t TakenFrom = Offers.size();
  for (std::size_t Index = 0; Index < Offers.size(); ++Index) {
    if (*rc::gen::weightedElement<bool>({{1, true}, {9, false}})) {
      InForce = ManifestNumber{0}; // A restarted process has none.
      continue;
    }
    const ManifestNumber Offered{Offers[Index]};
    const ManifestNumber Before = InForce;
    if (shouldAccept(InForce, Offered)) {
      InForce = Offered;
      TakenFrom = Index;
    }
    RC_ASSERT(InForce.Value >= Before.Value);
    RC_ASSERT(InForce.Value >= Offered.Value);
    RC_ASSERT((TakenFrom == Index) == (InForce != Before));
  }
}

/// An operator with at most one change under way.
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

struct Told {
  ApplyId Apply;
  ApplyFinding Finding;
};

enum class Step { Read, Send, Deliver, DeliverTwice, LoseAnswer, Drop, Look };

/// Operators that race for numbers over a network that loses, repeats and
/// delays updates and answers, and a platform whose reads may be stale.
struct Race {
  /// All that was ever stored; the last one is what the platform holds.
  std::vector<ManifestEnvelope> Log;
  std::vector<Operator> Operators;
  std::vector<Message> InTransit;
  std::vector<Told> Answers;
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

  void look(Operator &Actor, std::size_t Version) {
    finish(Actor,
           classifyApplyFailure(read(Version), *Actor.Planned, Actor.BasedOn));
  }

  void deliver(std::size_t Position, bool IsAnswered) {
    const Message Update = InTransit[Position];
    const bool Took = Update.Version == Log.size();
    if (Took)
      Log.push_back(Update.Planned);
    Operator &Actor = Operators[Update.Sender];
    if (!IsAnswered || !Actor.Planned ||
        Actor.Planned->Apply != Update.Planned.Apply)
      return;
    if (Took)
      finish(Actor, {ApplyVerdict::InForce, Update.Planned.Number,
                     Update.Planned.Number, ""});
    else
      look(Actor, Log.size());
  }

  void run(Step Kind, std::size_t Which, std::size_t Staleness) {
    const std::size_t Index = Which % Operators.size();
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
    } else if (Kind == Step::Look && Actor.Planned) {
      look(Actor, Version);
    } else if (!InTransit.empty() && Kind >= Step::Deliver) {
      const std::size_t Position = Which % InTransit.size();
      if (Kind != Step::Drop)
        deliver(Position, Kind != Step::LoseAnswer);
      if (Kind == Step::Deliver || Kind == Step::Drop)
        InTransit.erase(InTransit.begin() +
                        static_cast<std::ptrdiff_t>(Position));
    }
  }
};

// Guards against two winners of one number, a loser that is not told, success
// told for a change that is not in the history, and a conflict told for a
// change that took effect.
RC_GTEST_PROP(ManifestUpdateProperties, RacesHaveOneWinnerForEachNumber, ()) {
  Race Running;
  Running.Operators.resize(*rc::gen::inRange<std::size_t>(2, 6));
  const auto Steps = *rc::gen::container<std::vector<int>>(
      600, rc::gen::inRange(0, 7 * 1000 * 8));
  for (const int Choice : Steps)
    Running.run(static_cast<Step>(Choice % 7),
                static_cast<std::size_t>(Choice / 7 % 1000),
                static_cast<std::size_t>(Choice) / 7000 / 4 * 3);
  while (!Running.InTransit.empty())
    Running.run(Step::Deliver, Running.InTransit.size() - 1, 0);
  for (Operator &Actor : Running.Operators)
    if (Actor.Planned)
      Running.look(Actor, Running.Log.size());

  std::map<std::string, ManifestNumber> Stored;
  for (std::size_t Index = 0; Index < Running.Log.size(); ++Index) {
    const ManifestEnvelope &Envelope = Running.Log[Index];
    RC_ASSERT(Envelope.Number.Value == Index + 1);
    RC_ASSERT(Envelope.History.size() <= ApplyHistoryLength);
    RC_ASSERT(Stored.emplace(Envelope.Apply.Value, Envelope.Number).second);
  }
  for (const Told &Answer : Running.Answers) {
    const auto Own = Stored.find(Answer.Apply.Value);
    const ApplyVerdict Verdict = Answer.Finding.Verdict;
    if (Verdict == ApplyVerdict::InForce || Verdict == ApplyVerdict::Superseded)
      RC_ASSERT(Own != Stored.end() && Own->second == Answer.Finding.Own);
    else if (Verdict == ApplyVerdict::Conflict)
      RC_ASSERT(Own == Stored.end());
    Stored.erase(Answer.Apply.Value);
  }
  // A change that took effect is told as such, unless its operator never heard.
  for (const Operator &Actor : Running.Operators)
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

// Guards against telling a conflict or success when the own change may have
// been cut off from the history.
TEST(ManifestUpdate, AdmitsThatTheHistoryIsTooShort) {
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

// Guards against a conflict that does not tell the operator what to do.
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

// Guards against a number that every host ignores after the platform has lost
// its object or was restored from an old copy.
TEST(ManifestUpdate, NumbersStayAboveWhatHostsHaveInForce) {
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
