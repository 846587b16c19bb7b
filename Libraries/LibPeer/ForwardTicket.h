//===-- ForwardTicket.h - Accompanies a request from instance to instance -===//
//
// An instance that doesn't reach the targets of a pool passes its callers'
// requests to a peer that does, over HTTP at the peer's address. The request
// stays as its caller sent it, apart from one header with the ticket. The peer
// admits it by itself, so that a ticket carries no account and no tier.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBPEER_FORWARDTICKET_H
#define YARDRILL_LIBPEER_FORWARDTICKET_H

#include "LibDecision/Identity.h"
#include "LibPeer/PeerCodec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace yardrill::peer {

/// Header of a forwarded request that has the encoded ticket.
inline constexpr char ForwardTicketHeader[] = "Yardrill-Forward-Ticket";
/// Header of a forwarded request, and of the response to it: number that the
/// sender has given this request only.
inline constexpr char ForwardAttemptHeader[] = "Yardrill-Forward-Attempt";
/// Header of a response that the peer itself made; absent from those of
/// targets. Its value is one of those below.
inline constexpr char ForwardOutcomeHeader[] = "Yardrill-Forward-Outcome";
/// Header of a forwarded stream's response: hash of the pool that it comes
/// from, a blank, and the hex-encoded version of the targets.
inline constexpr char StreamOriginHeader[] = "Yardrill-Stream-Origin";
/// The peer has not sent the request to a target, and another peer may.
inline constexpr char OutcomeNotTaken[] = "not-taken";
/// The peer's response is final for the caller.
inline constexpr char OutcomeFinal[] = "final";

/// What the receiver needs to know of a forwarded request.
struct ForwardTicket {
  decision::InstanceRef m_From;
  config::Endpoint m_To;                ///< Peer address of the receiver.
  std::string m_RequestId;              ///< The caller's, as in the request.
  std::string m_Content;                ///< quarantine::ContentDigest as text.
  std::int64_t m_WallSeconds = 0;       ///< Time of sending, in Unix seconds.
  std::int64_t m_ElapsedUs = 0;         ///< Since the request arrived.
  core::ConfigurationVersion m_Version; ///< In force at the sender.
  /// Attempts that may have run.
  std::uint32_t m_PossibleExecutions = 0;
  /// Pool, by routing::hashOf(), and version of the only targets at which a
  /// stream may go on; empty for one that has not begun.
  std::uint32_t m_StreamPool = 0;
  std::string m_StreamVersion;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_From, m_To, m_RequestId, m_Content, m_WallSeconds, m_ElapsedUs,
       m_Version, m_PossibleExecutions, m_StreamPool, m_StreamVersion);
  }

  /// Returns the ticket signed by \p Codec, as the value of a header.
  std::string encode(const PeerCodec &Codec) const;
  /// Decodes a header's value. \returns none unless a peer has signed it for
  /// \p Self, at most MaxAge before or after \p NowWallSeconds.
  static std::optional<ForwardTicket> decode(const std::string &Text,
                                             const PeerCodec &Codec,
                                             const config::Endpoint &Self,
                                             std::int64_t NowWallSeconds);
  /// Difference of the clocks of instances, and time that a request takes.
  static constexpr std::int64_t MaxAgeSeconds = 30;
};

} // namespace yardrill::peer

#endif
