//===-- MirrorUpdate.h - Store state sent from one instance to another ----===//
#ifndef YARDRILL_LIBGATEWAY_MIRRORUPDATE_H
#define YARDRILL_LIBGATEWAY_MIRRORUPDATE_H

#include "LibPlatform/StoreMirror.h"

#include <string>
#include <string_view>
#include <vector>

namespace yardrill::gateway {

/// Largest value that is sent within an update. Larger ones are omitted and
/// fetched separately, so that the small entry of a target does not wait behind
/// a configuration of half a megabyte, which takes 5 s on a link of 0.1 MB/s.
constexpr std::size_t MaxInlineValueBytes = 16384;

/// Whether \p Value is omitted from updates.
inline bool isLargeValue(const std::string &Value) {
  return Value.size() > MaxInlineValueBytes;
}

/// Changes or a snapshot of a mirror; large values are omitted.
struct MirrorUpdate {
  platform::Revision m_At;   ///< Revision of the mirror
  bool m_IsSnapshot = false; ///< Whether it replaces all entries
  std::vector<platform::Entry> m_Entries;

  /// Returns the changes of \p Mirror after \p After. If they are no longer
  /// kept, the result is marked as a snapshot but has no entries; snapshot()
  /// must be sent instead.
  static MirrorUpdate since(const platform::StoreMirror &Mirror,
                            platform::Revision After);
  /// Returns all entries of \p Mirror.
  static MirrorUpdate snapshot(const platform::StoreMirror &Mirror);
  /// Replaces all entries of \p Mirror, or applies the changes to it.
  void applyTo(platform::StoreMirror &Mirror) const;

  /// Returns cereal's portable binary form, compressed if it is large.
  std::string encode() const;
  /// \throws core::Error of kind Protocol, or LimitExceeded.
  static MirrorUpdate decode(std::string_view Text);
};

/// Request for a large value.
struct ValueQuery {
  std::string m_Key;
  /// Revision of the older value that the client has; 0: none.
  platform::Revision m_HeldRevision;

  std::string encode() const;
  /// \throws core::Error of kind Protocol.
  static ValueQuery decode(std::string_view Text);
};

/// Large value, encoded as a patch.
struct ValueTransfer {
  platform::Revision m_ModRevision;
  platform::Revision m_Base; ///< Revision of the patch's base; 0: none
  std::string m_Patch;       ///< See applyPatch()

  std::string encode() const;
  /// \throws core::Error of kind Protocol.
  static ValueTransfer decode(std::string_view Text);
};

} // namespace yardrill::gateway

#endif
