#include "LibRouting/TargetThrottleTable.h"

#include <algorithm>

namespace yardrill::routing {

/// Time for which a change is reported repeatedly, in case datagrams are lost.
static constexpr std::chrono::seconds ChangeReportTime{5};
/// Time without reports after which an instance that is not a sender drops a
/// limit, because all senders must be gone. Longer than the membership needs to
/// select other senders.
static constexpr std::chrono::seconds ReportTimeout{30};
/// Time after which a leaving target has exited. Its incarnation does not
/// return.
static constexpr std::chrono::minutes LeavingStateLifetime{10};

bool TargetThrottleTable::update(const TargetIncarnation &Incarnation,
                                 const TargetBackpressure &Backpressure,
                                 core::TimePoint Now) {
  Entry *Known = find(Incarnation, Now);
  if (!Known && Backpressure.isEmpty())
    return false;
  Entry &State = Known ? *Known : findOrCreate(Incarnation, Now);
  State.m_UpdatedAt = Now;
  bool IsChanged = State.m_Throttle.update(Backpressure, Now);
  if (IsChanged) {
    recordChange(Incarnation, State, Now);
    State.m_ReportUntil = Now + ChangeReportTime;
  }
  return IsChanged;
}

bool TargetThrottleTable::update(const BackpressureReport &Report,
                                 core::TimePoint Now) {
  Entry &State = findOrCreate(Report.m_Incarnation, Now);
  State.m_UpdatedAt = Now;
  bool IsChanged = Report.m_IsLeaving && State.m_Throttle.setLeaving();
  IsChanged = State.m_Throttle.limit().apply(Report.m_Limit) || IsChanged;
  if (IsChanged)
    recordChange(Report.m_Incarnation, State, Now);
  return IsChanged;
}

void TargetThrottleTable::setWarmUp(const TargetIncarnation &Incarnation,
                                    std::optional<WarmUp> Limit,
                                    core::TimePoint Now) {
  Entry *Known = find(Incarnation, Now);
  if (!Known && !Limit)
    return;
  Entry &State = Known ? *Known : findOrCreate(Incarnation, Now);
  State.m_Throttle.limit().setWarmUp(Limit);
  updateSenders(Incarnation, State, Now);
}

void TargetThrottleTable::recordChange(const TargetIncarnation &Incarnation,
                                       Entry &State, core::TimePoint Now) {
  State.m_ChangedAt = Now;
  updateSenders(Incarnation, State, Now);
}

TargetThrottleTable::Entry &
TargetThrottleTable::findOrCreate(const TargetIncarnation &Incarnation,
                                  core::TimePoint Now) {
  Entry &State = m_Throttles[Incarnation];
  updateSenders(Incarnation, State, Now);
  return State;
}

TargetThrottleTable::Entry *
TargetThrottleTable::find(const TargetIncarnation &Incarnation,
                          core::TimePoint Now) {
  if (m_Throttles.empty())
    return nullptr;
  auto Found = m_Throttles.find(Incarnation);
  if (Found == m_Throttles.end())
    return nullptr;
  Found->second.m_Throttle.limit().expireWarmUp(Now);
  updateSenders(Incarnation, Found->second, Now);
  return &Found->second;
}

void TargetThrottleTable::updateSenders(const TargetIncarnation &Incarnation,
                                        Entry &State, core::TimePoint Now) {
  SharedRateLimit &Limit = State.m_Throttle.limit();
  if (State.m_Generation == m_Generation || !Limit.isLimited())
    return;
  State.m_Generation = m_Generation;
  Limit.setSenders(m_CountSenders(Incarnation), Now);
}

bool TargetThrottleTable::acceptsRequests(const TargetIncarnation &Incarnation,
                                          core::TimePoint Now) {
  Entry *Known = find(Incarnation, Now);
  return !Known || Known->m_Throttle.acceptsRequests(Now);
}

std::optional<Availability>
TargetThrottleTable::availability(const TargetIncarnation &Incarnation,
                                  core::TimePoint Now) {
  Entry *Known = find(Incarnation, Now);
  return Known ? Known->m_Throttle.availability() : Availability();
}

LimitedTurn TargetThrottleTable::turnOf(const TargetIncarnation &Incarnation,
                                        core::TimePoint Now) {
  Entry *Known = find(Incarnation, Now);
  if (!Known || !Known->m_Throttle.limit().isStated() ||
      !Known->m_Throttle.acceptsRequests(Now))
    return LimitedTurn::None;
  return Known->m_Throttle.limit().isProbeDue(Now) ? LimitedTurn::Overdue
                                                   : LimitedTurn::Due;
}

void TargetThrottleTable::recordSent(const TargetIncarnation &Incarnation,
                                     core::TimePoint Now) {
  if (Entry *Known = find(Incarnation, Now))
    Known->m_Throttle.recordSent(Now);
}

BackpressureReport
TargetThrottleTable::reportOf(const TargetIncarnation &Incarnation) const {
  auto Found = m_Throttles.find(Incarnation);
  if (Found == m_Throttles.end())
    return {Incarnation, {}, false};
  const TargetThrottle &Known = Found->second.m_Throttle;
  return {Incarnation, Known.limit().latestUpdate(), Known.isLeaving()};
}

bool TargetThrottleTable::isSender(const TargetIncarnation &Incarnation) const {
  auto Found = m_Throttles.find(Incarnation);
  return Found != m_Throttles.end() &&
         Found->second.m_Throttle.limit().isSender();
}

std::vector<BackpressureReport>
TargetThrottleTable::dueReports(core::TimePoint Now) const {
  std::vector<BackpressureReport> Out;
  for (const auto &[Incarnation, Each] : m_Throttles) {
    const SharedRateLimit &Limit = Each.m_Throttle.limit();
    bool IsNew = Now - Each.m_ChangedAt < ChangeReportTime;
    bool IsDue = Limit.isSender() && (Limit.isStated() || IsNew);
    if (IsDue || Now < Each.m_ReportUntil)
      Out.push_back(reportOf(Incarnation));
  }
  return Out;
}

bool TargetThrottleTable::isStale(const Entry &State, core::TimePoint Now) {
  const TargetThrottle &Known = State.m_Throttle;
  core::Duration Silence = Now - State.m_UpdatedAt;
  if (Known.isBackedOff(Now) || Known.limit().isWarmingUp())
    return false;
  if (Known.isLeaving())
    return Silence >= LeavingStateLifetime;
  if (Known.limit().isStated())
    return !Known.limit().isSender() && Silence >= ReportTimeout;
  // Delayed reports may still carry the limit that was cleared.
  return Now - State.m_ChangedAt >= ReportTimeout;
}

void TargetThrottleTable::removeStale(core::TimePoint Now) {
  for (auto Each = m_Throttles.begin(); Each != m_Throttles.end();) {
    Each->second.m_Throttle.limit().expireWarmUp(Now);
    Each =
        isStale(Each->second, Now) ? m_Throttles.erase(Each) : std::next(Each);
  }
}

bool TargetThrottleTable::isLeaving(
    const TargetIncarnation &Incarnation) const {
  auto Found = m_Throttles.find(Incarnation);
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
        return Each.second.m_Throttle.limit().isStated();
      }));
}

std::size_t TargetThrottleTable::warmingUp() const {
  return static_cast<std::size_t>(std::count_if(
      m_Throttles.begin(), m_Throttles.end(), [](const auto &Each) {
        return Each.second.m_Throttle.limit().isWarmingUp();
      }));
}

} // namespace yardrill::routing
