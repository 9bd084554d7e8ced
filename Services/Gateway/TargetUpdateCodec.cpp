#include "TargetUpdateCodec.h"

#include <algorithm>

namespace comfreyrill {

namespace {

// Limit on the age of a received departure, in milliseconds.
constexpr std::int64_t AgeMaximum = 3'600'000;

std::int64_t milliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

wire::TargetRecord toWire(const RegistrationChange &Change) {
  wire::TargetRecord Record;
  Record.target = Change.Id.Value;
  if (!Change.Registration) {
    Record.__set_gone(true);
    return Record;
  }
  const TargetRegistration &Registered = *Change.Registration;
  Record.__set_service_name(Registered.Service.Value);
  Record.__set_address(formatEndpoint(Registered.Address));
  Record.__set_failure_domain(Registered.Domain.Value);
  Record.__set_slots(static_cast<std::int32_t>(Registered.Slots));
  Record.__set_started_at_ms(
      static_cast<std::int64_t>(Registered.StartedAtMilliseconds));
  if (Registered.IsDraining)
    Record.__set_draining(true);
  if (Registered.ColdTime > Duration::zero())
    Record.__set_cold_ms(milliseconds(Registered.ColdTime));
  if (Change.HeldBackFor > Duration::zero())
    Record.__set_held_back_ms(milliseconds(Change.HeldBackFor));
  return Record;
}

wire::TargetRecord toWire(const TargetProcess &Process,
                          const DepartureReport &Departed) {
  wire::TargetRecord Record;
  Record.target = Process.Id.Value;
  Record.__set_gone(true);
  Record.__set_started_at_ms(
      static_cast<std::int64_t>(Process.StartedAtMilliseconds));
  if (Departed.IsLeaving)
    Record.__set_draining(true);
  Record.__set_departed_ms(milliseconds(Departed.Age));
  return Record;
}

TargetProcess processOf(const wire::TargetRecord &Record) {
  return {TargetId(Record.target),
          static_cast<std::uint64_t>(Record.started_at_ms)};
}

DepartureReport reportOf(const wire::TargetRecord &Record) {
  return {std::chrono::milliseconds(
              std::clamp<std::int64_t>(Record.departed_ms, 0, AgeMaximum)),
          Record.__isset.draining && Record.draining};
}

Result<RegistrationChange> fromWire(const wire::TargetRecord &Record,
                                    StoreRevision Revision) {
  RegistrationChange Change{
      TargetId(Record.target), std::nullopt, Revision, {}};
  if (Record.__isset.gone && Record.gone)
    return Change;
  TargetRegistration Registered;
  Registered.Id = Change.Id;
  Registered.Service = ServiceName(Record.service_name);
  TRY(Registered.Address, parseEndpoint(Record.address));
  Registered.Domain = FailureDomain(Record.failure_domain);
  Registered.Slots = static_cast<std::uint32_t>(std::max(Record.slots, 1));
  Registered.IsDraining = Record.__isset.draining && Record.draining;
  Registered.ColdTime = std::chrono::milliseconds(
      Record.__isset.cold_ms ? std::max<std::int64_t>(Record.cold_ms, 0) : 0);
  Registered.StartedAtMilliseconds =
      static_cast<std::uint64_t>(Record.started_at_ms);
  Change.Registration = std::move(Registered);
  if (Record.__isset.held_back_ms)
    Change.HeldBackFor =
        std::clamp<Duration>(std::chrono::milliseconds(Record.held_back_ms),
                             Duration::zero(), RestoredEntryDelay);
  return Change;
}

} // namespace

wire::TargetUpdate toWire(const TargetDelta &Delta) {
  wire::TargetUpdate Update;
  Update.base_revision = static_cast<std::int64_t>(Delta.Base.Value);
  Update.revision = static_cast<std::int64_t>(Delta.Revision.Value);
  for (const RegistrationChange &Change : Delta.Changes)
    Update.records.push_back(toWire(Change));
  for (const auto &[Process, Departed] : Delta.Departures) {
    Update.departed.push_back(toWire(Process, Departed));
    Update.__isset.departed = true;
  }
  return Update;
}

Result<TargetDelta> fromWire(const wire::TargetUpdate &Update) {
  TargetDelta Delta;
  Delta.Base.Value = static_cast<std::uint64_t>(Update.base_revision);
  Delta.Revision.Value = static_cast<std::uint64_t>(Update.revision);
  for (const wire::TargetRecord &Record : Update.records) {
    TRY(RegistrationChange Change, fromWire(Record, Delta.Revision));
    Delta.Changes.push_back(std::move(Change));
  }
  for (const wire::TargetRecord &Record : Update.departed)
    Delta.Departures[processOf(Record)] = reportOf(Record);
  return Delta;
}

} // namespace comfreyrill
