//===-- ResponseStore.h - Responses stored for repeated requests ----------===//
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

/// Complete responses to requests with an identity, keyed by the request that
/// ran.
/// The traffic thread sends them to callers who repeat the request. Bounded by
/// the bytes of the bodies: the oldest are discarded first, and a repeat of
/// their request is refused with ResponseNotStored.
class ResponseStore {
public:
  ResponseStore(std::size_t MaxBytes, std::size_t MaxResponseBytes)
      : m_MaxBytes(MaxBytes), m_MaxResponseBytes(MaxResponseBytes) {}

  /// Stores a response. \returns false when it is too large.
  bool store(core::RequestId Request, http::ResponseMessage Response);
  /// Returns null when the response is not stored.
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
