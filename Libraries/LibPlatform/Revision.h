//===-- Revision.h - Position in the history of the store -----------------===//
//
// The store counts its changes. When it comes back from an older copy, the
// count goes back and its values are given out again, for other changes; the
// store's era then rises by one. A revision has both, so that revisions of all
// eras are distinct and ordered.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBPLATFORM_REVISION_H
#define YARDRILL_LIBPLATFORM_REVISION_H

#include "LibCore/StrongType.h"

#include <cstdint>
#include <ostream>

namespace yardrill::platform {

struct RevisionTag {
  /// Bits of the count of changes; those above have the era.
  static constexpr int CountBits = 44;
};

/// Count of the store's changes, preceded by its era; 0 stands for an absent
/// key. Its value() is an order over all eras.
using Revision = core::StrongType<RevisionTag, std::int64_t>;

/// \pre \p Count is below 2^44, and \p Era below 2^19.
inline Revision makeRevision(std::int64_t Era, std::int64_t Count) {
  return Revision((Era << RevisionTag::CountBits) + Count);
}
/// Returns the era that gave out a revision.
inline std::int64_t eraOf(Revision Of) {
  return Of.value() >> RevisionTag::CountBits;
}
/// Returns the count of changes, as the store states it.
inline std::int64_t countOf(Revision Of) {
  return Of.value() - (eraOf(Of) << RevisionTag::CountBits);
}

/// Writes the count, preceded by the era and a slash if that is not 0.
inline std::ostream &operator<<(std::ostream &Out, const Revision &Value) {
  if (eraOf(Value) != 0)
    Out << eraOf(Value) << '/';
  return Out << countOf(Value);
}

} // namespace yardrill::platform

#endif
