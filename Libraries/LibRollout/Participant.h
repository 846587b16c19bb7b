//===-- Participant.h - One instance's part in a roll-out ---------------===//
//
// Pure. Says where new requests of the pool may go, and keeps the evidence.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_PARTICIPANT_H
#define YARDRILL_LIBROLLOUT_PARTICIPANT_H

#include "LibRollout/Permit.h"
#include "LibRollout/SampleBudget.h"

#include <deque>
#include <set>

namespace yardrill::rollout {

class Participant {
public:
  /// \param Age of the order already, as a start after it finds it.
  Participant(Order What, core::Duration Age, core::TimePoint Now);

  core::Duration age(core::TimePoint Now) const { return Now - m_Since; }
  /// Another instance knows of it for longer.
  void raiseAge(core::Duration Age, core::TimePoint Now);

  Traffic traffic(core::TimePoint Now) const;
  double share() const { return m_Permit.m_Share; }
  /// Whether a request on \p Route is to try the new version now.
  bool isSampleDue(std::uint32_t Route, core::TimePoint Now) const;

  void applyPermit(const Permit &Received, core::TimePoint Now);
  void sent(std::uint32_t Route, bool IsNew, core::TimePoint Now);
  void recordResponse(const ResponseCountsKey &Key, ResponseQuality Quality,
                      core::Duration Time, core::TimePoint Now);
  /// The next report. \param RunningOld see Report.
  Report report(std::uint32_t RunningOld, core::TimePoint Now);

private:
  /// Answers of the new version that an instance looks at by itself.
  static constexpr std::size_t OwnSampleSize = 8;

  /// Cells that changed since the last report, and some of the others in turn:
  /// what was lost is told again within some reports. All cells in each report
  /// would take a small coordinator half of its time.
  ResponseCountsByKey countsToReport();
  bool isStopped(core::TimePoint Now) const { return Now < m_StoppedUntil; }
  /// Stops by itself where all goes to the new version and it plainly fails:
  /// sooner than the coordinator can.
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
  std::deque<SentReport>
      m_SentReports; ///< Reports that a permit may still answer.
  SampleBudget m_SampleBudget;
  Evidence m_Evidence;
  std::set<ResponseCountsKey> m_Changed; ///< Since the last report.
  ResponseCountsKey m_LastReported;      ///< In turn.
  std::deque<bool>
      m_RecentFailures;         ///< Of the last answers of the new version.
  double m_OldFailureShare = 0; ///< Decaying.
  std::uint64_t m_NextReport = 1;
  std::uint32_t m_Sent = 0;
  std::uint32_t m_SentNew = 0;
};

} // namespace yardrill::rollout

#endif
