//===-- PeerSignature.h - Signatures of requests between instances --------===//
#ifndef YARDRILL_LIBINSTANCE_PEERSIGNATURE_H
#define YARDRILL_LIBINSTANCE_PEERSIGNATURE_H

#include "LibHTTP/Message.h"

#include <cstdint>
#include <string>

namespace yardrill::instance {

/// Headers that a forwarded request may have. The Yardrill-Peer ones are
/// removed from callers' requests.
inline constexpr const char *AccountHeader = "Yardrill-Peer-Account";
inline constexpr const char *TimeHeader = "Yardrill-Peer-Time";
inline constexpr const char *SignatureHeader = "Yardrill-Peer-Signature";
inline constexpr const char *TicketHeader = "Yardrill-Ticket";
inline constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char *TierHeader = "Yardrill-Tier";

/// Signs and verifies requests between instances: an HMAC with their shared key
/// over method, target, time, account, tier, identity and body.
class PeerSignature {
public:
  explicit PeerSignature(std::string Key) : m_Key(std::move(Key)) {}

  /// Adds the time and signature headers. \p WallSeconds is Unix time.
  void sign(http::RequestMessage &Request, std::int64_t WallSeconds) const;
  /// Returns false when the request is unsigned or forged, or its time differs
  /// too much from \p WallSeconds.
  bool isValid(const http::RequestMessage &Request,
               std::int64_t WallSeconds) const;

private:
  std::string mac(const http::RequestMessage &Request) const;

  std::string m_Key;
};

} // namespace yardrill::instance

#endif
