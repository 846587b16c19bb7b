//===-- TargetAdmission.h - When a target takes a request -----------------===//
//
// What a target says of itself binds, unlike what is guessed of it from its
// failures: TargetDirectory::tryStart(), which nothing that is sent goes round,
// asks here.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_TARGETADMISSION_H
#define YARDRILL_LIBROUTING_TARGETADMISSION_H

#include "LibRouting/SharedLimit.h"
#include "LibRouting/TargetTerms.h"

#include <optional>

namespace yardrill::routing {

/// From when a target takes requests of this instance, and how many.
struct Opening {
  core::TimePoint m_At{};
  std::optional<double> m_PerSecond; ///< Not set: as many as it has places.
};

/// What one run of a target has said of itself, to this instance or to others.
class TargetAdmission {
public:
  /// Takes in the terms of an answer to this instance. \returns whether other
  /// instances should hear of it.
  bool take(const TargetTerms &Terms, core::TimePoint Now);

  /// It said so to another instance. \returns whether that is new.
  bool noteLeaving();
  bool isLeaving() const { return m_IsLeaving; }
  bool isResting(core::TimePoint Now) const { return Now < m_RestsUntil; }

  /// From when a request may be sent there; none: not by this instance.
  std::optional<Opening> opening() const;
  bool isOpen(core::TimePoint Now) const {
    auto Next = opening();
    return Next && Next->m_At <= Now;
  }
  /// Takes note of a request that is sent now.
  void noteSent(core::TimePoint Now) { m_Limit.noteSent(Now); }

  SharedLimit &limit() { return m_Limit; }
  const SharedLimit &limit() const { return m_Limit; }

private:
  SharedLimit m_Limit;
  core::TimePoint m_RestsUntil{}; ///< Asked of this instance alone.
  bool m_IsLeaving = false;       ///< Never unsaid.
};

} // namespace yardrill::routing

#endif
