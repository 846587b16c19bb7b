//===-- AdmissionBook.h - What all targets have said of themselves --------===//
//
// By runs, and apart from TargetDirectory: an announcement that lapses and
// comes back, or is older than an answer, changes nothing here. Empty while no
// target states terms; then each question costs one comparison.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_ADMISSIONBOOK_H
#define YARDRILL_LIBROUTING_ADMISSIONBOOK_H

#include "LibRouting/Target.h"
#include "LibRouting/TargetAdmission.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace yardrill::routing {

/// What other instances should know of one run.
struct StatedTerms {
  TargetRun m_Run;
  LimitWord m_Limit;
  bool m_IsLeaving = false;
};

class AdmissionBook {
public:
  /// \returns how many senders a limited target has; 0: this instance is none
  /// of them.
  using SendersOf = std::function<std::size_t(const TargetRun &)>;

  explicit AdmissionBook(SendersOf Hook) : m_SendersOf(std::move(Hook)) {}

  /// Takes in the terms of an answer to this instance. \returns whether other
  /// instances should hear of it.
  bool take(const TargetRun &Run, const TargetTerms &Terms,
            core::TimePoint Now);
  /// Takes in what another instance knows. \returns whether it is news.
  bool take(const StatedTerms &Told, core::TimePoint Now);
  /// The senders may be others now.
  void invalidateSenders() { ++m_Generation; }

  /// Whether a request may be sent to the run now.
  bool isOpen(const TargetRun &Run, core::TimePoint Now);
  /// From when one may be sent; none: not by this instance.
  std::optional<Opening> opening(const TargetRun &Run, core::TimePoint Now);
  /// Takes note of a request that is sent now.
  void noteSent(const TargetRun &Run, core::TimePoint Now);

  /// Whether the run has said that it ends soon.
  bool isLeaving(const TargetRun &Run) const;

  /// What this instance should go on telling the others: limits that it is a
  /// sender of, and what it was the first to hear.
  std::vector<StatedTerms> toTell(core::TimePoint Now) const;
  StatedTerms termsOf(const TargetRun &Run) const;
  /// Whether this instance may send to a limited target.
  bool isSender(const TargetRun &Run) const;
  /// Forgets what nothing was heard of for long.
  void forgetOld(core::TimePoint Now);
  /// Targets with a limit.
  std::size_t limited() const;
  /// Targets that want nothing from this instance for a while.
  std::size_t resting(core::TimePoint Now) const;
  bool isEmpty() const { return m_Admissions.empty(); }

private:
  struct Entry {
    TargetAdmission m_Admission;
    std::size_t m_Generation = 0; ///< In which its senders were worked out.
    core::TimePoint m_HeardAt{};  ///< From the target or another instance.
    core::TimePoint m_ChangedAt{};
    core::TimePoint m_ToldUntil{}; ///< What this instance heard first.
  };

  Entry *find(const TargetRun &Run, core::TimePoint Now);
  Entry &entryOf(const TargetRun &Run, core::TimePoint Now);
  void updateSenders(const TargetRun &Run, Entry &Of, core::TimePoint Now);
  void noteChange(const TargetRun &Run, Entry &Of, core::TimePoint Now);
  static bool isOld(const Entry &Of, core::TimePoint Now);

  SendersOf m_SendersOf;
  std::map<TargetRun, Entry> m_Admissions;
  std::size_t m_Generation = 1; ///< Of all senders; see invalidateSenders().
};

} // namespace yardrill::routing

#endif
