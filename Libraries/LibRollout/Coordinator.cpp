#include "LibRollout/Coordinator.h"

#include <algorithm>

namespace yardrill::rollout {

/// Part of the allowed share that is used for samples. The rest covers a
/// version that fails only after all traffic has moved to it, before the
/// deadline.
static constexpr double SampleShare = 0.6;
/// Part of the bake time during which the new version is only sampled, however
/// good it looks, to find versions that turn bad late.
static constexpr double SamplePart = 0.7;
/// Part of the bake time after which the absence of evidence against the new
/// version suffices to move all traffic.
static constexpr double LateSamplePart = 0.82;
/// Minimum number of responses of the new version after LateSamplePart.
static constexpr std::uint32_t MinResponses = 20;
/// Maximum score against the new version on any route after LateSamplePart.
static constexpr double MaxScoreAgainst = 1.5;
/// Part of the slack that is used for samples in pools with few requests, where
/// the share alone gives too few responses to find a bad version: about 20 in a
/// bake time of 12 s at 40 requests per second. These missed 4 of 25 versions
/// that failed two in five requests.
static constexpr double SlackShare = 0.4;
/// Limit on the share of samples, with the part of the slack included.
static constexpr double MaxSampleShare = 0.25;
/// Time before the deadline at which the outcome is written; covers a call to a
/// slow store.
static constexpr std::chrono::milliseconds DeadlineMargin{500};
/// Time for which a new coordinator collects reports before it decides anything
/// but the rollback of a bad version.
static constexpr std::chrono::milliseconds TakeoverDelay{1200};
/// Ratio of new to old slots from which all traffic may move. It is below 1
/// since pools are sized for bursts.
static constexpr double MinCapacityRatio = 0.6;
/// Silence after which a participant is ignored. Its permit has expired then.
static constexpr std::chrono::milliseconds ParticipantTimeout =
    2 * Permit::Lifetime;

Coordinator::Coordinator(Order RolloutOrder, const ExposureLimits &Limits,
                         core::TimePoint Now)
    : m_Order(std::move(RolloutOrder)), m_Limits(Limits), m_Since(Now) {}

double Coordinator::share(core::Duration Age) const {
  double Sent = 0;
  for (const auto &[From, Participant] : m_Participants)
    Sent += Participant.m_LastReport.m_Sent;
  double Seconds = std::max(1.0, core::toSeconds(Age));
  double Expected =
      Sent / Seconds * core::toSeconds(m_Order.m_BakeTime) * SamplePart;
  double BaseShare = m_Limits.m_Share * SampleShare;
  if (Expected <= 0)
    return BaseShare;
  return std::min(BaseShare + SlackShare * m_Limits.m_Slack / Expected,
                  MaxSampleShare);
}

Permit Coordinator::handleReport(core::IncarnationId From,
                                 const Report &Received, core::TimePoint Now) {
  ParticipantState &Participant = m_Participants[From];
  for (const auto &[Key, Counts] : Received.m_Counts) {
    ResponseCounts &Known = Participant.m_Counts[Key];
    // Counters only grow, so a lower total is from a reordered report.
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
  // After completion, participants that have not seen the outcome yet keep
  // sending to the new version.
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

std::optional<Decision> Coordinator::end(State Outcome, const char *Reason) {
  m_End = Decision{Outcome, Reason, m_Judgement};
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

bool Coordinator::isUnsuspected() const {
  return !m_Judgement.isSuspect() &&
         m_Judgement.m_NewResponses >= MinResponses &&
         m_Judgement.m_MinGoodScore > -MaxScoreAgainst;
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
  // After a restart, the old targets may have been stopped already.
  bool HasNoOldSlots = Targets.m_OldSlots == 0 && Targets.m_NewSlots > 0;
  // A new coordinator may not have reports of their responses yet.
  bool HasBaseline = m_Judgement.m_OldResponses > 0 || HasNoOldSlots;
  bool MayShift =
      HasBaseline && (m_Judgement.isGood() ||
                      (ElapsedPart >= LateSamplePart && isUnsuspected()));
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
  return endForDoubt();
}

std::optional<Decision> Coordinator::endForDoubt() {
  return end(State::RolledBack, m_Judgement.isSuspect()
                                    ? m_Judgement.m_Worst.m_Kind
                                    : "too-little-evidence");
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
  bool MayComplete = m_Judgement.isGood() || isUnsuspected();
  bool IsLast = Age >= m_Order.m_BakeTime - DeadlineMargin;
  // What was seen since the shift may speak against the version.
  if (!MayComplete)
    return IsLast ? endForDoubt() : std::nullopt;
  if (isDrained(Now))
    return end(State::Completed, "good");
  // Requests that still run at old targets are interrupted: the deadline takes
  // precedence.
  if (IsLast)
    return end(State::Completed, "good-at-the-deadline");
  return std::nullopt;
}

} // namespace yardrill::rollout
