//===-- Coordinator.h - Coordinator of a roll-out -------------------------===//
//
// Any instance can coordinate; the first of those that follow the store (see
// FollowerSelection) does. If two do so for a while, each sees a part of the
// evidence, and both grant permits within the same share; a compare-and-swap
// makes the outcome of the order unique. After a takeover, the next few reports
// bring all counters again.
//
// Uses no clock or I/O: the time is a parameter, and RolloutService exchanges
// the messages.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_COORDINATOR_H
#define YARDRILL_LIBROLLOUT_COORDINATOR_H

#include "LibRollout/Judge.h"
#include "LibRollout/Permit.h"

#include <map>
#include <optional>

namespace yardrill::rollout {

/// Slots of the pool's targets that take new requests, according to the store.
struct PoolCapacity {
  std::size_t m_NewSlots = 0;
  std::size_t m_OldSlots = 0;
};

/// Limit on the requests that a bad version may get, of all requests to the
/// pool from the order to its deadline.
struct ExposureLimits {
  double m_Share = 0.1; ///< Share of the requests, 0 to 1.
  double m_Slack = 50;  ///< Number of requests beyond the share.
};

/// Outcome of an order.
struct Decision {
  State m_State = State::RolledBack;
  const char *m_Reason = "";
  Judgement m_Judgement;
};

/// Collects the reports of all participants, grants them permits and decides
/// how the order ends. Used by RolloutService.
class Coordinator {
public:
  Coordinator(Order RolloutOrder, const ExposureLimits &Limits,
              core::TimePoint Now);

  /// Handles a report. \returns the permit to send in response.
  Permit handleReport(core::IncarnationId From, const Report &Received,
                      core::TimePoint Now);
  /// Evaluates the evidence; must be called several times per second.
  /// \param Age age of the order.
  /// \returns the outcome once the order has ended; it does not change later.
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

  /// Returns the share of requests to sample, which is higher for pools with
  /// few requests.
  double share(core::Duration Age) const;
  ResponseCountsByKey sum() const;
  /// Whether there is evidence enough, and hardly any against the new version.
  bool isUnsuspected() const;
  bool hasEnoughCapacity(const PoolCapacity &Targets) const;
  /// Whether no request runs at old targets and none will be sent there.
  bool isDrained(core::TimePoint Now) const;
  std::optional<Decision> end(State Outcome, const char *Reason);
  /// Ends the order with a rollback, since the evidence does not suffice.
  std::optional<Decision> endForDoubt();
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
