//===-- MirrorUpdate.h - What one instance's mirror tells another's ------===//
#ifndef YARDRILL_LIBGATEWAY_MIRRORUPDATE_H
#define YARDRILL_LIBGATEWAY_MIRRORUPDATE_H

#include "LibPlatform/StoreMirror.h"

#include <string>
#include <string_view>
#include <vector>

namespace yardrill::gateway {

/// Values above this size are not sent with the news of their change, but on
/// request and apart from it: news of a target, under a kilobyte, must not wait
/// behind half a megabyte (5 s over a link of 0.1 MB/s; 0.1 s since).
constexpr std::size_t MaxInlineValueBytes = 16384;

inline bool isLargeValue(const std::string &Value) {
  return Value.size() > MaxInlineValueBytes;
}

/// What changed, with all values that are not large.
struct MirrorUpdate {
  platform::Revision m_At;
  bool m_IsSnapshot =
      false; ///< All entries; otherwise changes since one asked.
  std::vector<platform::Entry> m_Entries;

  /// What changed in \p Mirror after \p After. Where that is not kept any more
  /// the transfer must be whole(): it says so and has no entries.
  static MirrorUpdate since(const platform::StoreMirror &Mirror,
                            platform::Revision After);
  static MirrorUpdate snapshot(const platform::StoreMirror &Mirror);
  void applyTo(platform::StoreMirror &Mirror) const;

  /// cereal's portable binary form, compressed where that is worth it.
  std::string encode() const;
  /// \throws core::Error of kind Protocol, or LimitExceeded.
  static MirrorUpdate decode(std::string_view Text);
};

/// Asks for a large value.
struct ValueQuery {
  std::string m_Key;
  platform::Revision
      m_HeldRevision; ///< Of the older value that is here; 0: none.

  std::string encode() const;
  /// \throws core::Error of kind Protocol.
  static ValueQuery decode(std::string_view Text);
};

/// A large value, as a patch.
struct ValueTransfer {
  platform::Revision m_ModRevision;
  platform::Revision m_Base; ///< Of the value it is to be applied to; 0: none.
  std::string m_Patch;       ///< See applyPatch().

  std::string encode() const;
  /// \throws core::Error of kind Protocol.
  static ValueTransfer decode(std::string_view Text);
};

} // namespace yardrill::gateway

#endif
