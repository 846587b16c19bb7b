#include "LibRollout/Coordinator.h"

#include <algorithm>

namespace yardrill::rollout {

/// Part of the allowed share that samples take. The rest is for the time in
/// which all goes to the new version, before the deadline, and one that fails
/// only then is found.
static constexpr double SampleShare = 0.6;
/// Part of the time in which the version is only sampled, however good: those
/// that turn bad late are found in it.
static constexpr double SamplePart = 0.7;
/// Part after which it is enough that nothing speaks against it.
static constexpr double LateSamplePart = 0.82;
static constexpr std::uint32_t MinResponses = 20;
/// Against the version on any route, at that time.
static constexpr double MaxScoreAgainst = 1.5;
/// Part of the requests that are allowed beyond the share, which samples take
/// where there are few requests. With 40 a second for 12 s the share alone is
/// 20 answers: 4 of 25 versions that failed two in five were not found by them.
static constexpr double SlackShare = 0.4;
static constexpr double MaxSampleShare = 0.25;
/// The end is written so long before the deadline: a call to a slow store.
static constexpr std::chrono::milliseconds DeadlineMargin{500};
/// A coordinator that has just begun waits until all have told it what they
/// know.
static constexpr std::chrono::milliseconds TakeoverDelay{1200};
/// Part of the old places that must be there on the new side before all goes
/// there: pools are sized for bursts.
static constexpr double MinCapacityRatio = 0.6;
/// Who has not reported for so long has no permit, and counts no more.
static constexpr std::chrono::milliseconds ParticipantTimeout =
    2 * Permit::Lifetime;

Coordinator::Coordinator(Order What, const ExposureLimits &Limits,
                         core::TimePoint Now)
    : m_Order(std::move(What)), m_Limits(Limits), m_Since(Now) {}

double Coordinator::share(core::Duration Age) const {
  double Sent = 0;
  for (const auto &[From, Participant] : m_Participants)
    Sent += Participant.m_LastReport.m_Sent;
  double Seconds = std::max(1.0, core::toSeconds(Age));
  double Expected =
      Sent / Seconds * core::toSeconds(m_Order.m_BakeTime) * SamplePart;
  double Own = m_Limits.m_Share * SampleShare;
  if (Expected <= 0)
    return Own;
  return std::min(Own + SlackShare * m_Limits.m_Slack / Expected,
                  MaxSampleShare);
}

Permit Coordinator::handleReport(core::IncarnationId From,
                                 const Report &Received, core::TimePoint Now) {
  ParticipantState &Participant = m_Participants[From];
  for (const auto &[Key, Counts] : Received.m_Counts) {
    ResponseCounts &Known = Participant.m_Counts[Key];
    // A report that overtook another one.
    if (Known.total() < Counts.total())
      Known = Counts;
  }
  if (Participant.m_LastReport.m_Number <= Received.m_Number) {
    Participant.m_LastReport = Received;
    Participant.m_LastReport.m_Counts.clear();
  }
  Participant.m_LastReportAt = Now;
  Permit Out;
  Out.m_Order = m_Order.m_Id;
  Out.m_Report = Received.m_Number;
  Out.m_Traffic = m_End ? Traffic::Old : m_Traffic;
  // Completed, but not everywhere heard of yet.
  if (m_End && m_End->m_State == State::Completed)
    Out.m_Traffic = Traffic::New;
  Out.m_Share = share(Received.m_Age);
  return Out;
}

ResponseCountsByKey Coordinator::sum() const {
  ResponseCountsByKey Out;
  for (const auto &[From, Participant] : m_Participants)
    for (const auto &[Key, Counts] : Participant.m_Counts)
      Out[Key].add(Counts);
  return Out;
}

std::optional<Decision> Coordinator::end(State How, const char *Reason) {
  m_End = Decision{How, Reason, m_Judgement};
  return m_End;
}

std::optional<Decision> Coordinator::decide(const PoolCapacity &Targets,
                                            core::Duration Age,
                                            core::TimePoint Now) {
  if (m_End)
    return m_End;
  m_Judgement = m_Judge.evaluate(sum(), Now);
  if (m_Judgement.isBad())
    return end(State::RolledBack, m_Judgement.m_Worst.m_Kind);
  if (Now - m_Since < TakeoverDelay)
    return std::nullopt;
  return m_Traffic == Traffic::Sample ? decideSampling(Targets, Age)
                                      : decideShifting(Age, Now);
}

bool Coordinator::hasEnoughCapacity(const PoolCapacity &Targets) const {
  return Targets.m_NewSlots > 0 &&
         static_cast<double>(Targets.m_NewSlots) >=
             MinCapacityRatio * static_cast<double>(Targets.m_OldSlots);
}

std::optional<Decision> Coordinator::decideSampling(const PoolCapacity &Targets,
                                                    core::Duration Age) {
  double ElapsedPart =
      core::toSeconds(Age) / core::toSeconds(m_Order.m_BakeTime);
  bool IsUnsuspected = !m_Judgement.isSuspect() &&
                       m_Judgement.m_NewResponses >= MinResponses &&
                       m_Judgement.m_MinGoodScore > -MaxScoreAgainst;
  bool MayShift =
      m_Judgement.isGood() || (ElapsedPart >= LateSamplePart && IsUnsuspected);
  // Nothing is left to be moved: a restart after the others were stopped.
  bool HasNoOldSlots = Targets.m_OldSlots == 0 && Targets.m_NewSlots > 0;
  if (ElapsedPart >= SamplePart && MayShift &&
      (hasEnoughCapacity(Targets) || HasNoOldSlots)) {
    m_Traffic = Traffic::New;
    return std::nullopt;
  }
  if (Age < m_Order.m_BakeTime - DeadlineMargin)
    return std::nullopt;
  if (Targets.m_NewSlots == 0)
    return end(State::RolledBack, "no-targets");
  if (MayShift)
    return end(State::RolledBack, "too-few-targets");
  if (m_Judgement.isSuspect())
    return end(State::RolledBack, m_Judgement.m_Worst.m_Kind);
  return end(State::RolledBack, "too-little-evidence");
}

bool Coordinator::isDrained(core::TimePoint Now) const {
  return std::all_of(m_Participants.begin(), m_Participants.end(),
                     [Now](const auto &E) {
                       const ParticipantState &Each = E.second;
                       if (Now - Each.m_LastReportAt > ParticipantTimeout)
                         return true;
                       return Each.m_LastReport.m_Traffic == Traffic::New &&
                              Each.m_LastReport.m_RunningOld == 0;
                     });
}

std::optional<Decision> Coordinator::decideShifting(core::Duration Age,
                                                    core::TimePoint Now) {
  if (isDrained(Now))
    return end(State::Completed, "good");
  // What still runs at old targets then is cut: the deadline goes first.
  if (Age >= m_Order.m_BakeTime - DeadlineMargin)
    return end(State::Completed, "good-at-the-deadline");
  return std::nullopt;
}

} // namespace yardrill::rollout
