#include <Client/Apply.h>

#include <LibJson/JsonText.h>
#include <LibManifest/ManifestUpdate.h>

namespace comfreyrill {

namespace json = boost::json;

namespace {

constexpr BackoffPolicy ResendBackoff{std::chrono::milliseconds(50),
                                      std::chrono::seconds(1)};
constexpr Duration WaitPollInterval = std::chrono::milliseconds(100);

/// Final result of an apply command, as printed for the operator.
struct ApplySummary {
  ExitCode Code = ExitCode::Done;
  /// "in_force", "superseded", "conflict", "unavailable", "unknown" or
  /// "invalid".
  const char *Result = "in_force";
  /// Number that the change was given; 0 if it did not take effect or that is
  /// unknown.
  ManifestNumber Own;
  std::string Message;
};

ApplySummary errorSummary(const Error &Cause) {
  const ExitCode Code = exitCodeOf(Cause.Kind);
  const char *Result = Code == ExitCode::Conflict      ? "conflict"
                       : Code == ExitCode::Unavailable ? "unavailable"
                                                       : "invalid";
  return {Code, Result, {}, Cause.Message};
}

Awaitable<void> sleepUntil(TimePoint Time) {
  Timer Pause(co_await asio::this_coro::executor);
  Pause.expires_at(Time);
  co_await Pause.async_wait(UseTuple);
}

// The highest manifest number on the platform and on any host. Hosts keep their
// number even after the platform has lost its object. Returns 0 when neither a
// host nor the host report can be read; only the platform's number is known
// then.
Awaitable<ManifestNumber> highestManifestNumber(ClientContext &Context) {
  const auto View = co_await fetchFleetView(Context);
  co_return View ? View.value().Expected : ManifestNumber{0};
}

ApplySummary summaryOf(const ApplyFinding &Finding) {
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

ApplySummary unconfirmedSummary(const ManifestEnvelope &Planned,
                                const Error &Cause, bool MayBeStored) {
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

Awaitable<ApplySummary> sendUntilResolved(ClientContext &Context,
                                          ManifestEnvelope Planned,
                                          ManifestNumber BasedOn,
                                          ObjectVersion Version) {
  const auto Text = formatEnvelope(Planned);
  if (!Text)
    co_return errorSummary(Text.error());
  bool MayBeStored = false;
  for (std::uint32_t Failures = 1;; ++Failures) {
    const UpdateResult Sent = co_await Context.Platform.update(
        "manifest", Text.value(), Version, Context.Deadline);
    if (Sent.Outcome == UpdateOutcome::Stored)
      co_return summaryOf({ApplyVerdict::InForce, Planned.Number,
                           Planned.Number,
                           "manifest " + std::to_string(Planned.Number.Value) +
                               " is in force"});
    MayBeStored = MayBeStored || Sent.Outcome == UpdateOutcome::Unknown;
    Error LastFailure = *Sent.Cause;
    const auto Observed = co_await readEnvelope(Context, Context.Deadline);
    if (Observed) {
      const ApplyFinding Finding =
          classifyApplyFailure(Observed.value().Envelope, Planned, BasedOn);
      if (Finding.Verdict != ApplyVerdict::NotYetApplied)
        co_return summaryOf(Finding);
      // The platform may have been restored with the same manifest under
      // another version. Versions only increase, so an earlier update that is
      // still in transit cannot take effect in addition to the next one.
      if (Sent.Outcome == UpdateOutcome::Conflict)
        Version = Observed.value().Version;
    } else {
      LastFailure = Observed.error();
    }
    const TimePoint NextAttempt =
        Context.TimeSource.now() +
        retryDelay(Failures, ResendBackoff, Context.Generator);
    if (NextAttempt >= Context.Deadline ||
        exitCodeOf(LastFailure.Kind) == ExitCode::InvalidInput)
      co_return unconfirmedSummary(Planned, LastFailure, MayBeStored);
    co_await sleepUntil(NextAttempt);
  }
}

Awaitable<std::vector<HostDescription>>
waitForHosts(ClientContext &Context, ManifestNumber Number, Error &LastError) {
  std::vector<HostDescription> Late;
  while (true) {
    const auto View = co_await fetchFleetView(Context);
    if (View) {
      Late = lateHosts(View.value().Hosts, Number);
      LastError.Message.clear();
      if (Late.empty())
        co_return Late;
    } else {
      LastError = View.error();
    }
    const TimePoint NextAttempt = Context.TimeSource.now() + WaitPollInterval;
    if (NextAttempt >= Context.Deadline)
      co_return Late;
    co_await sleepUntil(NextAttempt);
  }
}

Awaitable<ApplySummary> updateManifest(ClientContext &Context,
                                       Manifest Content) {
  const auto Observed = co_await readEnvelope(Context, Context.Deadline);
  if (!Observed)
    co_return errorSummary(Observed.error());
  const auto &Envelope = Observed.value().Envelope;
  const ManifestNumber InForce =
      Envelope ? Envelope->Number : ManifestNumber{0};
  const ManifestNumber BasedOn = Context.Options.BasedOn.value_or(InForce);
  const ManifestNumber Highest = co_await highestManifestNumber(Context);
  auto Planned = planApply(Envelope, BasedOn, std::move(Content),
                           newApplyId(Context.Generator), Highest);
  if (!Planned)
    co_return errorSummary(Planned.error());
  co_return co_await sendUntilResolved(Context, std::move(Planned.value()),
                                       BasedOn, Observed.value().Version);
}

void printSummary(ClientContext &Context, const ApplySummary &Summary,
                  const std::vector<HostDescription> &Late) {
  if (Context.Options.Json) {
    json::array Names;
    for (const HostDescription &Host : Late)
      Names.push_back(json::string(Host.Host.Value));
    Context.Print(prettyJson(json::object{{"result", Summary.Result},
                                          {"number", Summary.Own.Value},
                                          {"message", Summary.Message},
                                          {"late_hosts", std::move(Names)}}));
  } else if (Summary.Code == ExitCode::Done) {
    Context.Print(Summary.Message + "\n");
  } else {
    Context.PrintError(Summary.Message + "\n");
  }
}

} // namespace

Awaitable<ExitCode> applyManifest(ClientContext &Context, Manifest Content) {
  ApplySummary Summary = co_await updateManifest(Context, std::move(Content));
  std::vector<HostDescription> Late;
  if (Summary.Code == ExitCode::Done && Context.Options.Wait) {
    Error LastError{ErrorKind::Unavailable, ""};
    Late = co_await waitForHosts(Context, Summary.Own, LastError);
    if (!Late.empty() || !LastError.Message.empty()) {
      Summary.Code = ExitCode::LateHosts;
      Summary.Message += ", but not yet on all hosts; late:";
      for (const HostDescription &Host : Late)
        Summary.Message += " " + Host.Host.Value;
      if (!LastError.Message.empty())
        Summary.Message +=
            " (the last status check failed: " + LastError.Message + ")";
      Summary.Message += "; see comfreyrill status";
    } else {
      Summary.Message += " on all hosts";
    }
  }
  printSummary(Context, Summary, Late);
  co_return Summary.Code;
}

} // namespace comfreyrill
