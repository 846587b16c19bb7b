//===-- ResponseStore.h - Whole answers kept for repeated identities
//--------===//
#ifndef YARDRILL_LIBINSTANCE_RESPONSESTORE_H
#define YARDRILL_LIBINSTANCE_RESPONSESTORE_H

#include "LibCore/StrongType.h"
#include "LibHTTP/Message.h"

#include <cstddef>
#include <list>
#include <memory>
#include <unordered_map>

namespace yardrill::instance {

using StoredResponse = std::shared_ptr<const http::ResponseMessage>;

/// Bounded by bytes. When full the oldest answers go first; who asks for one
/// of those is told that it ran and that its answer is not kept.
class ResponseStore {
public:
  ResponseStore(std::size_t MaxBytes, std::size_t MaxResponseBytes)
      : m_MaxBytes(MaxBytes), m_MaxResponseBytes(MaxResponseBytes) {}

  /// \returns false when the answer is too large to keep.
  bool store(core::RequestId Request, http::ResponseMessage Response);
  StoredResponse find(core::RequestId Request) const;
  void discard(core::RequestId Request);

  std::size_t maxResponseBytes() const { return m_MaxResponseBytes; }

private:
  struct StoredEntry {
    StoredResponse m_Response;
    std::list<core::RequestId>::iterator m_InsertionPosition;
  };

  std::size_t m_MaxBytes;
  std::size_t m_MaxResponseBytes;
  std::size_t m_Bytes = 0;
  std::list<core::RequestId> m_InsertionOrder;
  std::unordered_map<core::RequestId, StoredEntry> m_Responses;
};

} // namespace yardrill::instance

#endif
