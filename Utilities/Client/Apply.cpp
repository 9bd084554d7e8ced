#include <Client/Apply.h>

#include <LibJson/JsonText.h>
#include <LibManifest/ManifestUpdate.h>

namespace comfreyrill {

namespace json = boost::json;

namespace {

constexpr BackoffPolicy ResendPause{std::chrono::milliseconds(50),
                                    std::chrono::seconds(1)};
constexpr Duration WaitPollInterval = std::chrono::milliseconds(100);

/// How an apply ended.
struct ApplyEnd {
  ExitCode Code = ExitCode::Done;
  /// "in_force", "superseded", "conflict", "unavailable", "unknown" or
  /// "invalid".
  const char *Result = "in_force";
  ManifestNumber Own;
  std::string Message;
};

ApplyEnd failedEnd(const Error &Cause) {
  const ExitCode Code = exitCodeOf(Cause.Kind);
  const char *Result = Code == ExitCode::Conflict      ? "conflict"
                       : Code == ExitCode::Unavailable ? "unavailable"
                                                       : "invalid";
  return {Code, Result, {}, Cause.Message};
}

Awaitable<void> pauseUntil(TimePoint Time) {
  Timer Pause(co_await asio::this_coro::executor);
  Pause.expires_at(Time);
  co_await Pause.async_wait(UseTuple);
}

// Hosts know the number in force even after the platform has lost it. Without a
// host that answers, the platform's own number is all there is.
Awaitable<ManifestNumber> highestSeen(ClientContext &Context) {
  const auto View = co_await observeFleet(Context);
  co_return View ? View.value().Expected : ManifestNumber{0};
}

ApplyEnd endOf(const ApplyFinding &Finding) {
  switch (Finding.Verdict) {
  case ApplyVerdict::InForce:
    return {ExitCode::Done, "in_force", Finding.Own, Finding.Message};
  case ApplyVerdict::Superseded:
    return {ExitCode::Done, "superseded", Finding.Own, Finding.Message};
  case ApplyVerdict::Conflict:
    return {ExitCode::Conflict, "conflict", {}, Finding.Message};
  case ApplyVerdict::NotYetApplied:
  case ApplyVerdict::Unknown:
    break;
  }
  return {ExitCode::OutcomeUnknown, "unknown", {}, Finding.Message};
}

ApplyEnd gaveUp(const ManifestEnvelope &Planned, const Error &Cause,
                bool MayBeStored) {
  if (!MayBeStored)
    return {ExitCode::Unavailable,
            "unavailable",
            {},
            "the change did not take effect: " + Cause.Message};
  return {ExitCode::OutcomeUnknown,
          "unknown",
          {},
          "it is unknown whether the change took effect: " + Cause.Message +
              "; fetch the manifest once the platform answers: the change is "
              "in force if its apply_id is " +
              Planned.Apply.Value};
}

Awaitable<ApplyEnd> sendUntilKnown(ClientContext &Context,
                                   ManifestEnvelope Planned,
                                   ManifestNumber BasedOn,
                                   ObjectVersion Version) {
  const auto Text = formatEnvelope(Planned);
  if (!Text)
    co_return failedEnd(Text.error());
  bool MayBeStored = false;
  for (std::uint32_t Failures = 1;; ++Failures) {
    const UpdateResult Sent = co_await Context.Platform.update(
        "manifest", Text.value(), Version, Context.Deadline);
    if (Sent.Outcome == UpdateOutcome::Stored)
      co_return endOf({ApplyVerdict::InForce, Planned.Number, Planned.Number,
                       "manifest " + std::to_string(Planned.Number.Value) +
                           " is in force"});
    MayBeStored = MayBeStored || Sent.Outcome == UpdateOutcome::Unknown;
    Error Last = *Sent.Cause;
    const auto Observed = co_await observeEnvelope(Context, Context.Deadline);
    if (Observed) {
      const ApplyFinding Finding =
          classifyApplyFailure(Observed.value().Envelope, Planned, BasedOn);
      if (Finding.Verdict != ApplyVerdict::NotYetApplied)
        co_return endOf(Finding);
      // The platform may have been restored with the same manifest under
      // another version. Versions only rise, so that an update that is still
      // on its way can no longer take effect besides the next one.
      if (Sent.Outcome == UpdateOutcome::Conflict)
        Version = Observed.value().Version;
    } else {
      Last = Observed.error();
    }
    const TimePoint Next = Context.TimeSource.now() +
                           retryDelay(Failures, ResendPause, Context.Generator);
    if (Next >= Context.Deadline ||
        exitCodeOf(Last.Kind) == ExitCode::InvalidInput)
      co_return gaveUp(Planned, Last, MayBeStored);
    co_await pauseUntil(Next);
  }
}

Awaitable<std::vector<HostDescription>>
waitForHosts(ClientContext &Context, ManifestNumber Number, Error &LastError) {
  std::vector<HostDescription> Late;
  while (true) {
    const auto View = co_await observeFleet(Context);
    if (View) {
      Late = lateHosts(View.value().Hosts, Number);
      LastError.Message.clear();
      if (Late.empty())
        co_return Late;
    } else {
      LastError = View.error();
    }
    const TimePoint Next = Context.TimeSource.now() + WaitPollInterval;
    if (Next >= Context.Deadline)
      co_return Late;
    co_await pauseUntil(Next);
  }
}

Awaitable<ApplyEnd> applyOnce(ClientContext &Context, Manifest Content) {
  const auto Observed = co_await observeEnvelope(Context, Context.Deadline);
  if (!Observed)
    co_return failedEnd(Observed.error());
  const auto &Envelope = Observed.value().Envelope;
  const ManifestNumber InForce =
      Envelope ? Envelope->Number : ManifestNumber{0};
  const ManifestNumber BasedOn = Context.Options.BasedOn.value_or(InForce);
  const ManifestNumber Highest = co_await highestSeen(Context);
  auto Planned = planApply(Envelope, BasedOn, std::move(Content),
                           newApplyId(Context.Generator), Highest);
  if (!Planned)
    co_return failedEnd(Planned.error());
  co_return co_await sendUntilKnown(Context, std::move(Planned.value()),
                                    BasedOn, Observed.value().Version);
}

void report(ClientContext &Context, const ApplyEnd &End,
            const std::vector<HostDescription> &Late) {
  if (Context.Options.Json) {
    json::array Names;
    for (const HostDescription &Host : Late)
      Names.push_back(json::string(Host.Host.Value));
    Context.Print(prettyJson(json::object{{"result", End.Result},
                                          {"number", End.Own.Value},
                                          {"message", End.Message},
                                          {"late_hosts", std::move(Names)}}));
  } else if (End.Code == ExitCode::Done) {
    Context.Print(End.Message + "\n");
  } else {
    Context.PrintError(End.Message + "\n");
  }
}

} // namespace

Awaitable<ExitCode> applyManifest(ClientContext &Context, Manifest Content) {
  ApplyEnd End = co_await applyOnce(Context, std::move(Content));
  std::vector<HostDescription> Late;
  if (End.Code == ExitCode::Done && Context.Options.Wait) {
    Error LastError{ErrorKind::Unavailable, ""};
    Late = co_await waitForHosts(Context, End.Own, LastError);
    if (!Late.empty() || !LastError.Message.empty()) {
      End.Code = ExitCode::LateHosts;
      End.Message += ", but not yet on all hosts; late:";
      for (const HostDescription &Host : Late)
        End.Message += " " + Host.Host.Value;
      if (!LastError.Message.empty())
        End.Message += " (unknown: " + LastError.Message + ")";
      End.Message += "; see comfreyrill status";
    } else {
      End.Message += " on all hosts";
    }
  }
  report(Context, End, Late);
  co_return End.Code;
}

} // namespace comfreyrill
