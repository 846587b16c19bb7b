//===-- ValueHistory.h - Patches from older large values to newer ones ----===//
//
// Does no I/O. Most changes of a large configuration affect a few routes, and
// most peers have its previous version, so that they need only the difference.
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

/// Patch that results in the newest value of a key.
struct CachedPatch {
  platform::Revision m_Base; ///< Revision of its base; 0: empty base
  std::shared_ptr<const std::string> m_Patch;
};

/// Keeps older large values and caches patches; used by MirrorServer.
class ValueHistory {
public:
  /// Largest number of older values of a key. Changes can be a third of a
  /// second apart and take up to 1 s to reach all instances, so that peers are
  /// up to three versions behind; the other three cover late instances.
  static constexpr std::size_t MaxVersions = 6;
  /// Largest total size of the older values of a key.
  static constexpr std::size_t MaxBytes = 4UL * 1024 * 1024;

  /// Adds a value that was just replaced or removed, if it is large.
  void addReplaced(platform::Entry Old);
  /// Returns the patch to \p Newest from the value that a peer has, or from an
  /// empty one if that value is not kept. Created once for each base.
  /// \param HeldRevision revision of the peer's value; 0: none.
  CachedPatch patch(const platform::Entry &Newest,
                    platform::Revision HeldRevision);

private:
  struct KeyHistory {
    std::deque<platform::Entry> m_Older;
    platform::Revision m_NewestRevision; ///< Result of all patches
    std::map<platform::Revision, CachedPatch> m_Patches; ///< By base
  };

  std::map<std::string, KeyHistory> m_Keys;
};

} // namespace yardrill::gateway

#endif
