//===-- PeerSignature.h - Signed requests between instances ---------------===//
#ifndef YARDRILL_LIBINSTANCE_PEERSIGNATURE_H
#define YARDRILL_LIBINSTANCE_PEERSIGNATURE_H

#include "LibHTTP/Message.h"

#include <cstdint>
#include <string>

namespace yardrill::instance {

/// Names of the headers that a forwarded request carries; stripped from what
/// callers send.
inline constexpr const char *AccountHeader = "Yardrill-Peer-Account";
inline constexpr const char *TimeHeader = "Yardrill-Peer-Time";
inline constexpr const char *SignatureHeader = "Yardrill-Peer-Signature";
inline constexpr const char *TicketHeader = "Yardrill-Ticket";
inline constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char *TierHeader = "Yardrill-Tier";

/// Signs method, target, time, account, tier, identity and body with the
/// instances' shared key.
class PeerSignature {
public:
  explicit PeerSignature(std::string Key) : m_Key(std::move(Key)) {}

  void sign(http::RequestMessage &Request, std::int64_t WallSeconds) const;
  /// \returns false for a request that is unsigned, forged or stale.
  bool isValid(const http::RequestMessage &Request,
               std::int64_t WallSeconds) const;

private:
  std::string mac(const http::RequestMessage &Request) const;

  std::string m_Key;
};

} // namespace yardrill::instance

#endif
