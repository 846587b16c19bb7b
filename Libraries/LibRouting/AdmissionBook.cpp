#include "LibRouting/AdmissionBook.h"

#include <algorithm>

namespace yardrill::routing {

/// What has changed is told for so long, in case datagrams are lost.
static constexpr std::chrono::seconds ChangeToldTime{5};
/// An instance that may not send hears of the limit from those that may. Where
/// it hears nothing for so long, all of them are gone; longer than the list of
/// instances needs to name others.
static constexpr std::chrono::seconds UntoldTime{30};
/// A target that leaves is gone by then, and its name is never used again.
static constexpr std::chrono::minutes LeavingTime{10};

bool AdmissionBook::take(const TargetRun &Run, const TargetTerms &Terms,
                         core::TimePoint Now) {
  Entry *Known = find(Run, Now);
  if (!Known && Terms.isEmpty())
    return false;
  Entry &Of = Known ? *Known : entryOf(Run, Now);
  Of.m_HeardAt = Now;
  bool IsChanged = Of.m_Admission.take(Terms, Now);
  if (IsChanged) {
    noteChange(Run, Of, Now);
    Of.m_ToldUntil = Now + ChangeToldTime;
  }
  return IsChanged;
}

bool AdmissionBook::take(const StatedTerms &Told, core::TimePoint Now) {
  Entry &Of = entryOf(Told.m_Run, Now);
  Of.m_HeardAt = Now;
  bool IsChanged = Told.m_IsLeaving && Of.m_Admission.noteLeaving();
  IsChanged = Of.m_Admission.limit().hear(Told.m_Limit) || IsChanged;
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

std::optional<Opening> AdmissionBook::opening(const TargetRun &Run,
                                              core::TimePoint Now) {
  Entry *Known = find(Run, Now);
  return Known ? Known->m_Admission.opening() : Opening();
}

void AdmissionBook::noteSent(const TargetRun &Run, core::TimePoint Now) {
  if (Entry *Known = find(Run, Now))
    Known->m_Admission.noteSent(Now);
}

StatedTerms AdmissionBook::termsOf(const TargetRun &Run) const {
  auto Found = m_Admissions.find(Run);
  if (Found == m_Admissions.end())
    return {Run, {}, false};
  const TargetAdmission &Known = Found->second.m_Admission;
  return {Run, Known.limit().word(), Known.isLeaving()};
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
    bool IsTold = Limit.isSender() && (Limit.isNamed() || IsNew);
    if (IsTold || Now < Each.m_ToldUntil)
      Out.push_back(termsOf(Run));
  }
  return Out;
}

bool AdmissionBook::isOld(const Entry &Of, core::TimePoint Now) {
  const TargetAdmission &Known = Of.m_Admission;
  core::Duration Unheard = Now - Of.m_HeardAt;
  if (Known.isResting(Now))
    return false;
  if (Known.isLeaving())
    return Unheard >= LeavingTime;
  if (Known.limit().isNamed())
    return !Known.limit().isSender() && Unheard >= UntoldTime;
  // Older words may still come in that name the limit which has ended.
  return Now - Of.m_ChangedAt >= UntoldTime;
}

void AdmissionBook::forgetOld(core::TimePoint Now) {
  for (auto Each = m_Admissions.begin(); Each != m_Admissions.end();)
    Each =
        isOld(Each->second, Now) ? m_Admissions.erase(Each) : std::next(Each);
}

bool AdmissionBook::isLeaving(const TargetRun &Run) const {
  auto Found = m_Admissions.find(Run);
  return Found != m_Admissions.end() && Found->second.m_Admission.isLeaving();
}

std::size_t AdmissionBook::resting(core::TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      m_Admissions.begin(), m_Admissions.end(), [Now](const auto &Each) {
        return Each.second.m_Admission.isResting(Now);
      }));
}

std::size_t AdmissionBook::limited() const {
  return static_cast<std::size_t>(std::count_if(
      m_Admissions.begin(), m_Admissions.end(), [](const auto &Each) {
        return Each.second.m_Admission.limit().isNamed();
      }));
}

} // namespace yardrill::routing
