#include <LibPlaces/Evacuations.h>

#include <utility>

namespace comfreyrill {

namespace {

/// Carries the evacuations over when the store has been restored.
void enterEra(EvacuationView &View, StoreRevision Revision) {
  if (eraOf(Revision) <= eraOf(View.Revision))
    return;
  View.CarriedOver.merge(std::exchange(View.Listed, {}));
  View.Settled.clear();
  View.Revision = makeRevision(eraOf(Revision), 0);
}

void settle(EvacuationView &View, const FailureDomain &Domain) {
  View.Settled.insert(Domain);
  View.CarriedOver.erase(Domain);
}

} // namespace

bool isEvacuated(const EvacuationView &View, const FailureDomain &Domain) {
  return View.Listed.contains(Domain) || View.CarriedOver.contains(Domain);
}

std::set<FailureDomain> evacuatedDomains(const EvacuationView &View) {
  std::set<FailureDomain> Domains = View.Listed;
  Domains.insert(View.CarriedOver.begin(), View.CarriedOver.end());
  return Domains;
}

void applyReport(EvacuationView &View, const EvacuationReport &Report) {
  if (eraOf(Report.Revision) < eraOf(View.Revision))
    return;
  enterEra(View, Report.Revision);
  // The hosts of a domain that has just started may know only the restored
  // copy, so domains that are carried over count whatever revision is known.
  if (numberInEra(Report.Revision) == 0) {
    for (const FailureDomain &Domain : Report.Domains)
      if (!View.Settled.contains(Domain))
        View.CarriedOver.insert(Domain);
    return;
  }
  if (Report.Revision < View.Revision)
    return;
  View.Revision = Report.Revision;
  if (Report.IsComplete)
    View.Listed.clear();
  for (const FailureDomain &Domain : Report.Domains) {
    settle(View, Domain);
    View.Listed.insert(Domain);
  }
}

void applyChange(EvacuationView &View, const EvacuationChange &Change) {
  if (Change.Revision < View.Revision)
    return;
  enterEra(View, Change.Revision);
  View.Revision = Change.Revision;
  settle(View, Change.Domain);
  if (Change.IsEvacuated)
    View.Listed.insert(Change.Domain);
  else
    View.Listed.erase(Change.Domain);
}

std::vector<EvacuationReport> makeReports(const EvacuationView &View) {
  std::vector<EvacuationReport> Reports;
  if (!View.CarriedOver.empty())
    Reports.push_back(
        {makeRevision(eraOf(View.Revision), 0), View.CarriedOver, true});
  if (numberInEra(View.Revision) != 0)
    Reports.push_back({View.Revision, View.Listed, true});
  return Reports;
}

} // namespace comfreyrill
