//===-- StoreTransfer.h - What one instance's mirror tells another's ------===//
#ifndef YARDRILL_LIBGATEWAY_STORETRANSFER_H
#define YARDRILL_LIBGATEWAY_STORETRANSFER_H

#include "LibPlatform/StoreMirror.h"

#include <string>
#include <string_view>
#include <vector>

namespace yardrill::gateway {

struct StoreTransfer {
  platform::Revision m_At;
  bool m_IsWhole = false; ///< All entries; otherwise changes since one asked.
  std::vector<platform::Entry> m_Entries;

  /// What brings a mirror at \p After up to \p Mirror.
  static StoreTransfer from(const platform::StoreMirror &Mirror,
                            platform::Revision After);
  void applyTo(platform::StoreMirror &Mirror) const;

  /// cereal's portable binary form.
  std::string encode() const;
  /// \throws core::Error of kind Protocol.
  static StoreTransfer decode(std::string_view Text);
};

} // namespace yardrill::gateway

#endif
