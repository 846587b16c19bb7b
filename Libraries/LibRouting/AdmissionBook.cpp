#include "LibRouting/AdmissionBook.h"

#include <algorithm>

namespace yardrill::routing {

/// A limit that has ended is told for so long, in case datagrams are lost.
static constexpr std::chrono::seconds ChangeToldTime{5};
/// An instance that may not send hears of the limit from those that may. Where
/// it hears nothing for so long, all of them are gone; longer than the list of
/// instances needs to name others.
static constexpr std::chrono::seconds UntoldTime{30};

bool AdmissionBook::take(const TargetRun &Run, const TargetTerms &Terms,
                         core::TimePoint Now) {
  Entry *Known = find(Run, Now);
  if (!Known && Terms.isEmpty())
    return false;
  Entry &Of = Known ? *Known : entryOf(Run, Now);
  Of.m_HeardAt = Now;
  bool IsChanged = Of.m_Admission.take(Terms, Now);
  if (IsChanged)
    noteChange(Run, Of, Now);
  return IsChanged;
}

bool AdmissionBook::take(const StatedTerms &Told, core::TimePoint Now) {
  Entry &Of = entryOf(Told.m_Run, Now);
  Of.m_HeardAt = Now;
  bool IsChanged = Of.m_Admission.limit().hear(Told.m_Limit);
  if (IsChanged)
    noteChange(Told.m_Run, Of, Now);
  return IsChanged;
}

void AdmissionBook::noteChange(const TargetRun &Run, Entry &Of,
                               core::TimePoint Now) {
  Of.m_ChangedAt = Now;
  updateSenders(Run, Of, Now);
}

AdmissionBook::Entry &AdmissionBook::entryOf(const TargetRun &Run,
                                             core::TimePoint Now) {
  Entry &Of = m_Admissions[Run];
  updateSenders(Run, Of, Now);
  return Of;
}

AdmissionBook::Entry *AdmissionBook::find(const TargetRun &Run,
                                          core::TimePoint Now) {
  if (m_Admissions.empty())
    return nullptr;
  auto Found = m_Admissions.find(Run);
  if (Found == m_Admissions.end())
    return nullptr;
  updateSenders(Run, Found->second, Now);
  return &Found->second;
}

void AdmissionBook::updateSenders(const TargetRun &Run, Entry &Of,
                                  core::TimePoint Now) {
  SharedLimit &Limit = Of.m_Admission.limit();
  if (Of.m_Generation == m_Generation || !Limit.isNamed())
    return;
  Of.m_Generation = m_Generation;
  Limit.setSenders(m_SendersOf(Run), Now);
}

bool AdmissionBook::isOpen(const TargetRun &Run, core::TimePoint Now) {
  Entry *Known = find(Run, Now);
  return !Known || Known->m_Admission.isOpen(Now);
}

std::optional<core::TimePoint> AdmissionBook::opensAt(const TargetRun &Run,
                                                      core::TimePoint Now) {
  Entry *Known = find(Run, Now);
  return Known ? Known->m_Admission.opensAt() : core::TimePoint();
}

void AdmissionBook::noteSent(const TargetRun &Run, core::TimePoint Now) {
  if (Entry *Known = find(Run, Now))
    Known->m_Admission.noteSent(Now);
}

StatedTerms AdmissionBook::termsOf(const TargetRun &Run) const {
  auto Found = m_Admissions.find(Run);
  if (Found == m_Admissions.end())
    return {Run, {}};
  return {Run, Found->second.m_Admission.limit().word()};
}

bool AdmissionBook::isSender(const TargetRun &Run) const {
  auto Found = m_Admissions.find(Run);
  return Found != m_Admissions.end() &&
         Found->second.m_Admission.limit().isSender();
}

std::vector<StatedTerms> AdmissionBook::toTell(core::TimePoint Now) const {
  std::vector<StatedTerms> Out;
  for (const auto &[Run, Each] : m_Admissions) {
    const SharedLimit &Limit = Each.m_Admission.limit();
    bool IsNew = Now - Each.m_ChangedAt < ChangeToldTime;
    if (Limit.isSender() && (Limit.isNamed() || IsNew))
      Out.push_back(termsOf(Run));
  }
  return Out;
}

void AdmissionBook::forgetOld(core::TimePoint Now) {
  for (auto Each = m_Admissions.begin(); Each != m_Admissions.end();) {
    const SharedLimit &Limit = Each->second.m_Admission.limit();
    bool IsNeeded = Limit.isNamed() && Limit.isSender();
    bool IsOld = Now - Each->second.m_HeardAt >= UntoldTime;
    Each = IsOld && !IsNeeded ? m_Admissions.erase(Each) : std::next(Each);
  }
}

std::size_t AdmissionBook::limited() const {
  return static_cast<std::size_t>(std::count_if(
      m_Admissions.begin(), m_Admissions.end(), [](const auto &Each) {
        return Each.second.m_Admission.limit().isNamed();
      }));
}

} // namespace yardrill::routing
