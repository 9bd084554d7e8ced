#pragma once

#include "SoakRun.h"

namespace comfreyrill::soak {

/// Returns a random duration between two numbers of milliseconds.
Duration randomDuration(SoakRun &Current, int Low, int High);

std::string milliseconds(Duration Length);

/// Records a disturbance that lasts until endDisturbance is called.
std::size_t beginDisturbance(SoakRun &Current, std::optional<std::size_t> Host);
void endDisturbance(SoakRun &Current, std::size_t Index);

/// Returns a random target that does not leave.
SoakTarget &chooseTarget(SoakRun &Current);

/// Runs a fault beside the others.
void start(SoakRun &Current, Awaitable<void> Fault);

/// Makes the store fail, slow or silent for all hosts, or drops its history.
Awaitable<void> injectStoreFault(SoakRun &Current);

/// Makes the store silent for a random share of the hosts at the same time. At
/// least one host is spared.
Awaitable<void> silenceStoreToHosts(SoakRun &Current);

/// Takes a copy of the store, later restores it after an outage, and writes
/// again what operators and targets had written since.
Awaitable<void> restoreStore(SoakRun &Current);

/// Slows a target down or makes it refuse or lose requests.
Awaitable<void> injectTargetFault(SoakRun &Current);

/// Lets a target ask hosts for no requests, several times in series.
Awaitable<void> limitTarget(SoakRun &Current);
Awaitable<void> pauseTarget(SoakRun &Current);

/// Crashes a target and replaces it with a new one.
Awaitable<void> crashTarget(SoakRun &Current);

/// Ends a target, at times after it has left or paused, and starts its next
/// process under the same id.
Awaitable<void> restartTarget(SoakRun &Current);

/// Removes the registration of a target that has ended, unless its next process
/// has written it.
void removeRegistration(SoakRun &Current, const SoakTarget &Ended);

/// Shuts a target down as planned and replaces it with a new one. The target
/// says in its answers that it leaves; its registration says so at once, later
/// or never.
Awaitable<void> leaveTarget(SoakRun &Current);

} // namespace comfreyrill::soak
