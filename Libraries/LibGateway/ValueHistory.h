//===-- ValueHistory.h - Patches from older large values to the newest ----===//
//
// Pure. A configuration of half a megabyte mostly changes by a few routes, and
// peers mostly have the one before: they are sent the difference.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_VALUEHISTORY_H
#define YARDRILL_LIBGATEWAY_VALUEHISTORY_H

#include "LibPlatform/KeyValueService.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace yardrill::gateway {

/// How to make the newest value of a key.
struct CachedPatch {
  platform::Revision m_Base; ///< What it is to be applied to; 0: nothing.
  std::shared_ptr<const std::string> m_Patch;
};

class ValueHistory {
public:
  /// Older values of a key, of all sizes together. Changes a third of a second
  /// apart reach all within 1 s; some more cover those that are late.
  static constexpr std::size_t MaxVersions = 6;
  static constexpr std::size_t MaxBytes = 4UL * 1024 * 1024;

  /// \p Old was just replaced or removed. Values that are not large are not
  /// kept.
  void addReplaced(platform::Entry Old);
  /// The patch to \p Newest from what the asking peer has, or from nothing if
  /// that is not known here. Made once for each base.
  /// \param Held revision of the peer's value; 0: it has none.
  CachedPatch patch(const platform::Entry &Newest,
                    platform::Revision HeldRevision);

private:
  struct KeyHistory {
    std::deque<platform::Entry> m_Older;
    platform::Revision m_NewestRevision; ///< That the patches make.
    std::map<platform::Revision, CachedPatch> m_Patches; ///< By their base.
  };

  std::map<std::string, KeyHistory> m_Keys;
};

} // namespace yardrill::gateway

#endif
