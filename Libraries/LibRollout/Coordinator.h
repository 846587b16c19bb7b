//===-- Coordinator.h - Gives permits and decides how an order ends -------===//
//
// Pure. Each instance can do it; the one does that comes first among those that
// follow the store. Two that both think so, for a while, each see a part of the
// evidence and give permits within the same share; how the order ends is
// written once, under a condition. One that takes over is told all counters
// within a period of the reports.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_COORDINATOR_H
#define YARDRILL_LIBROLLOUT_COORDINATOR_H

#include "LibRollout/Judge.h"
#include "LibRollout/Permit.h"

#include <map>
#include <optional>

namespace yardrill::rollout {

/// Targets of the pool that take new work, as the store announces them.
struct PoolCapacity {
  std::size_t m_NewSlots = 0;
  std::size_t m_OldSlots = 0;
};

/// Of all requests to a pool from an order to its deadline, what a bad version
/// may get.
struct ExposureLimits {
  double m_Share = 0.1;
  double m_Slack = 50; ///< Requests beyond it.
};

/// How an order ends, and why.
struct Decision {
  State m_State = State::RolledBack;
  const char *m_Reason = "";
  Judgement m_Judgement;
};

class Coordinator {
public:
  Coordinator(Order What, const ExposureLimits &Limits, core::TimePoint Now);

  /// \returns the answer to it.
  Permit handleReport(core::IncarnationId From, const Report &Received,
                      core::TimePoint Now);
  /// To be called several times a second. \param Age of the order.
  /// \returns the end of the order; asked again it stays what it was.
  std::optional<Decision> decide(const PoolCapacity &Targets,
                                 core::Duration Age, core::TimePoint Now);
  const Judgement &judgement() const { return m_Judgement; }
  Traffic traffic() const { return m_Traffic; }
  std::size_t reporters() const { return m_Participants.size(); }

private:
  struct ParticipantState {
    Report m_LastReport;
    ResponseCountsByKey m_Counts;
    core::TimePoint m_LastReportAt{};
  };

  /// Of the requests that are to try the new version, by how many there are.
  double share(core::Duration Age) const;
  ResponseCountsByKey sum() const;
  bool hasEnoughCapacity(const PoolCapacity &Targets) const;
  /// Whether nothing runs at old targets any more, and nothing will.
  bool isDrained(core::TimePoint Now) const;
  std::optional<Decision> end(State How, const char *Reason);
  std::optional<Decision> decideSampling(const PoolCapacity &Targets,
                                         core::Duration Age);
  std::optional<Decision> decideShifting(core::Duration Age,
                                         core::TimePoint Now);

  Order m_Order;
  ExposureLimits m_Limits;
  core::TimePoint m_Since{};
  std::map<core::IncarnationId, ParticipantState> m_Participants;
  Judge m_Judge;
  Judgement m_Judgement;
  Traffic m_Traffic = Traffic::Sample;
  std::optional<Decision> m_End;
};

} // namespace yardrill::rollout

#endif
