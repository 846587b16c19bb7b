//===-- ExpectedResponse.h - How a response is told from others -----------===//
//
// A server may respond to a request twice, and the second response may come in
// the place of the next one. All attempts of a request have the same key, so
// that the key tells the responses of a connection apart only if it carries no
// two requests with the same key.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBHTTP_EXPECTEDRESPONSE_H
#define YARDRILL_LIBHTTP_EXPECTEDRESPONSE_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstdint>

namespace yardrill::http {

/// Hash of what a response repeats of its request.
using ResponseKey = core::StrongType<struct ResponseKeyTag, std::uint64_t>;

/// Response to a request that is about to be sent.
struct ExpectedResponse {
  ResponseKey m_Key;
  /// Time from which no request with that key is sent any more.
  core::TimePoint m_Until{};
};

} // namespace yardrill::http

#endif
