//===-- TrialSchedule.h - When a quarantined content is tried again -------===//
//
// A quarantined content is never answered, so that nothing would ever clear a
// harmless one. Two parts of prompts that were at the same exits are told apart
// by a request that has only one. Any other part is tried again after a while,
// less often with each further exit, by one instance of the fleet. Whole
// contents are not: their callers are told to return, and operators can lift
// them.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBQUARANTINE_TRIALSCHEDULE_H
#define YARDRILL_LIBQUARANTINE_TRIALSCHEDULE_H

#include "LibQuarantine/QuarantineTable.h"

#include <functional>
#include <map>
#include <vector>

namespace yardrill::quarantine {

/// Decides which requests with quarantined contents are sent all the same; used
/// by QuarantineService.
class TrialSchedule {
public:
  /// Whether this instance is the one that tries a content again.
  using MayTryAgain = std::function<bool(const ContentDigest &)>;

  TrialSchedule(const QuarantineTable &Table, MayTryAgain Hook)
      : m_Table(Table), m_MayTryAgain(std::move(Hook)) {}

  /// Whether a request may be sent although some of its contents are
  /// quarantined. If so, no other one with these may for a while.
  bool tryBegin(const std::vector<ContentDigest> &Contents,
                core::TimePoint Now);
  /// Forgets the trials of a content, because it is no longer quarantined.
  void forget(const ContentDigest &Content) { m_TriedAt.erase(Content); }

  /// Minimum time between two trials of a content at one instance: longer than
  /// most requests run.
  static constexpr std::chrono::seconds MinPeriod{5};
  /// Time after which a content is tried again, and its growth with each
  /// further exit.
  static constexpr std::chrono::seconds FirstDelay{30};
  static constexpr int DelayGrowth = 4;
  /// Exits under a content from which it is no longer tried. The users allow
  /// three sends after the fifth exit.
  static constexpr std::size_t MaxExits = 7;

private:
  /// Whether a content has been quarantined for long enough.
  bool isDue(const ContentDigest &Content, core::TimePoint Now) const;

  const QuarantineTable &m_Table;
  MayTryAgain m_MayTryAgain;
  /// Time of the last trial of each quarantined content at this instance.
  std::map<ContentDigest, core::TimePoint> m_TriedAt;
};

} // namespace yardrill::quarantine

#endif
