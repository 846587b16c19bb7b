//===-- Participant.h - One instance in a roll-out ------------------------===//
//
// Uses no clock or I/O: the time is a parameter, and RolloutService exchanges
// the messages.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_PARTICIPANT_H
#define YARDRILL_LIBROLLOUT_PARTICIPANT_H

#include "LibRollout/Permit.h"
#include "LibRollout/SampleBudget.h"

#include <deque>
#include <set>

namespace yardrill::rollout {

/// Tells an instance to which version it may send new requests of the pool, and
/// collects the evidence that it reports to the coordinator.
class Participant {
public:
  /// \param Age age of the order, above 0 if the instance started after it.
  Participant(Order RolloutOrder, core::Duration Age, core::TimePoint Now);

  /// Returns the age of the order.
  core::Duration age(core::TimePoint Now) const { return Now - m_Since; }
  /// Raises the age to one that another instance knows.
  void raiseAge(core::Duration Age, core::TimePoint Now);

  /// Returns the version for new requests: the permit's, or the old one without
  /// a permit in force or while stopped.
  Traffic traffic(core::TimePoint Now) const;
  /// Returns the share of samples in the last permit, 0 to 1.
  double share() const { return m_Permit.m_Share; }
  /// Whether a request on \p Route should be a sample of the new version.
  bool isSampleDue(std::uint32_t Route, core::TimePoint Now) const;

  /// Applies a permit, unless it is late, older than the current one, or for
  /// another order.
  void applyPermit(const Permit &Received, core::TimePoint Now);
  void recordSent(std::uint32_t Route, bool IsNew, core::TimePoint Now);
  void recordResponse(const ResponseCountsKey &Key, ResponseQuality Quality,
                      core::Duration Time, core::TimePoint Now);
  /// Returns the next report. \param RunningOld see Report::m_RunningOld.
  Report report(std::uint32_t RunningOld, core::TimePoint Now);

private:
  /// Number of recent responses of the new version in the local check.
  static constexpr std::size_t OwnSampleSize = 8;

  /// Returns the counters that changed since the last report, and some of the
  /// others in rotation, so that lost ones are repeated within a few reports.
  /// Handling all of them in each report would take half of the CPU time of a
  /// small coordinator.
  ResponseCountsByKey countsToReport();
  bool isStopped(core::TimePoint Now) const { return Now < m_StoppedUntil; }
  /// Stops the traffic to the new version for a permit's lifetime if all goes
  /// there and it clearly fails. This is faster than the coordinator.
  void checkLocalResponses(const ResponseCountsKey &Key,
                           ResponseQuality Quality, core::TimePoint Now);

  struct SentReport {
    std::uint64_t m_Number = 0;
    core::TimePoint m_At{};
  };

  Order m_Order;
  core::TimePoint m_Since{};
  Permit m_Permit;
  core::TimePoint m_PermitUntil{};
  core::TimePoint m_StoppedUntil{};
  /// Reports that a permit may still answer.
  std::deque<SentReport> m_SentReports;
  SampleBudget m_SampleBudget;
  Evidence m_Evidence;
  std::set<ResponseCountsKey> m_Changed; ///< Keys to report next.
  ResponseCountsKey m_LastReported;      ///< Position in the rotation.
  /// Whether each of the last responses of the new version failed.
  std::deque<bool> m_RecentFailures;
  double m_OldFailureShare = 0; ///< Moving average, 0 to 1.
  std::uint64_t m_NextReport = 1;
  std::uint32_t m_Sent = 0;
  std::uint32_t m_SentNew = 0;
};

} // namespace yardrill::rollout

#endif
