#include "LibRouting/TargetThrottleTable.h"

#include <algorithm>

namespace yardrill::routing {

/// What has changed is told for so long, in case datagrams are lost.
static constexpr std::chrono::seconds ChangeReportTime{5};
/// An instance that may not send hears of the limit from those that may. Where
/// it hears nothing for so long, all of them are gone; longer than the list of
/// instances needs to name others.
static constexpr std::chrono::seconds ReportTimeout{30};
/// A target that leaves is gone by then, and its name is never used again.
static constexpr std::chrono::minutes LeavingStateLifetime{10};

bool TargetThrottleTable::update(const TargetIncarnation &Run,
                                 const TargetBackpressure &Backpressure,
                                 core::TimePoint Now) {
  Entry *Known = find(Run, Now);
  if (!Known && Backpressure.isEmpty())
    return false;
  Entry &Of = Known ? *Known : findOrCreate(Run, Now);
  Of.m_HeardAt = Now;
  bool IsChanged = Of.m_Throttle.update(Backpressure, Now);
  if (IsChanged) {
    recordChange(Run, Of, Now);
    Of.m_ReportUntil = Now + ChangeReportTime;
  }
  return IsChanged;
}

bool TargetThrottleTable::update(const BackpressureReport &Told,
                                 core::TimePoint Now) {
  Entry &Of = findOrCreate(Told.m_Incarnation, Now);
  Of.m_HeardAt = Now;
  bool IsChanged = Told.m_IsLeaving && Of.m_Throttle.setLeaving();
  IsChanged = Of.m_Throttle.limit().apply(Told.m_Limit) || IsChanged;
  if (IsChanged)
    recordChange(Told.m_Incarnation, Of, Now);
  return IsChanged;
}

void TargetThrottleTable::recordChange(const TargetIncarnation &Run, Entry &Of,
                                       core::TimePoint Now) {
  Of.m_ChangedAt = Now;
  updateSenders(Run, Of, Now);
}

TargetThrottleTable::Entry &
TargetThrottleTable::findOrCreate(const TargetIncarnation &Run,
                                  core::TimePoint Now) {
  Entry &Of = m_Throttles[Run];
  updateSenders(Run, Of, Now);
  return Of;
}

TargetThrottleTable::Entry *
TargetThrottleTable::find(const TargetIncarnation &Run, core::TimePoint Now) {
  if (m_Throttles.empty())
    return nullptr;
  auto Found = m_Throttles.find(Run);
  if (Found == m_Throttles.end())
    return nullptr;
  updateSenders(Run, Found->second, Now);
  return &Found->second;
}

void TargetThrottleTable::updateSenders(const TargetIncarnation &Run, Entry &Of,
                                        core::TimePoint Now) {
  SharedRateLimit &Limit = Of.m_Throttle.limit();
  if (Of.m_Generation == m_Generation || !Limit.isLimited())
    return;
  Of.m_Generation = m_Generation;
  Limit.setSenders(m_CountSenders(Run), Now);
}

bool TargetThrottleTable::isOpen(const TargetIncarnation &Run,
                                 core::TimePoint Now) {
  Entry *Known = find(Run, Now);
  return !Known || Known->m_Throttle.isOpen(Now);
}

std::optional<Availability>
TargetThrottleTable::availability(const TargetIncarnation &Run,
                                  core::TimePoint Now) {
  Entry *Known = find(Run, Now);
  return Known ? Known->m_Throttle.availability() : Availability();
}

void TargetThrottleTable::recordSent(const TargetIncarnation &Run,
                                     core::TimePoint Now) {
  if (Entry *Known = find(Run, Now))
    Known->m_Throttle.recordSent(Now);
}

BackpressureReport
TargetThrottleTable::reportOf(const TargetIncarnation &Run) const {
  auto Found = m_Throttles.find(Run);
  if (Found == m_Throttles.end())
    return {Run, {}, false};
  const TargetThrottle &Known = Found->second.m_Throttle;
  return {Run, Known.limit().latestUpdate(), Known.isLeaving()};
}

bool TargetThrottleTable::isSender(const TargetIncarnation &Run) const {
  auto Found = m_Throttles.find(Run);
  return Found != m_Throttles.end() &&
         Found->second.m_Throttle.limit().isSender();
}

std::vector<BackpressureReport>
TargetThrottleTable::dueReports(core::TimePoint Now) const {
  std::vector<BackpressureReport> Out;
  for (const auto &[Run, Each] : m_Throttles) {
    const SharedRateLimit &Limit = Each.m_Throttle.limit();
    bool IsNew = Now - Each.m_ChangedAt < ChangeReportTime;
    bool IsTold = Limit.isSender() && (Limit.isLimited() || IsNew);
    if (IsTold || Now < Each.m_ReportUntil)
      Out.push_back(reportOf(Run));
  }
  return Out;
}

bool TargetThrottleTable::isStale(const Entry &Of, core::TimePoint Now) {
  const TargetThrottle &Known = Of.m_Throttle;
  core::Duration Unheard = Now - Of.m_HeardAt;
  if (Known.isBackedOff(Now))
    return false;
  if (Known.isLeaving())
    return Unheard >= LeavingStateLifetime;
  if (Known.limit().isLimited())
    return !Known.limit().isSender() && Unheard >= ReportTimeout;
  // Older words may still come in that name the limit which has ended.
  return Now - Of.m_ChangedAt >= ReportTimeout;
}

void TargetThrottleTable::removeStale(core::TimePoint Now) {
  for (auto Each = m_Throttles.begin(); Each != m_Throttles.end();)
    Each =
        isStale(Each->second, Now) ? m_Throttles.erase(Each) : std::next(Each);
}

bool TargetThrottleTable::isLeaving(const TargetIncarnation &Run) const {
  auto Found = m_Throttles.find(Run);
  return Found != m_Throttles.end() && Found->second.m_Throttle.isLeaving();
}

std::size_t TargetThrottleTable::backedOff(core::TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      m_Throttles.begin(), m_Throttles.end(), [Now](const auto &Each) {
        return Each.second.m_Throttle.isBackedOff(Now);
      }));
}

std::size_t TargetThrottleTable::limited() const {
  return static_cast<std::size_t>(std::count_if(
      m_Throttles.begin(), m_Throttles.end(), [](const auto &Each) {
        return Each.second.m_Throttle.limit().isLimited();
      }));
}

} // namespace yardrill::routing
