//===-- PeerCodec.h - Peer messages as authenticated datagrams ------------===//
//
// Layout: 2 bytes magic, 1 byte version, 32 bytes HMAC-SHA-256 (RFC 2104) of
// version and payload, then the payload in cereal's portable binary form.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBPEER_PEERCODEC_H
#define YARDRILL_LIBPEER_PEERCODEC_H

#include "LibPeer/PeerMessage.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace yardrill::peer {

/// Fits one Ethernet frame, so that no datagram is fragmented.
inline constexpr std::size_t MaxDatagramBytes = 1400;

/// Of everything that peers send each other; instances of other versions are
/// not heard.
inline constexpr char ProtocolVersion = 5;

/// Why a datagram was dropped; each reason is counted.
enum class DropReason {
  TooLarge,
  Garbage, ///< Not one of ours at all, or a payload that can't be read.
  OtherVersion,
  WrongKey,
  Stale,        ///< Older than allowed by the clock.
  Replayed,     ///< Not newer than the sender's last message.
  TooManyPeers, ///< No room for one more sender.
};

const char *toString(DropReason Reason);
/// The name of the counter of datagrams dropped for that reason.
std::string droppedCounterName(DropReason Reason);

class PeerCodec {
public:
  explicit PeerCodec(std::string Key) : m_Key(std::move(Key)) {}

  /// \throws core::Error of kind LimitExceeded when it does not fit.
  std::string encode(const PeerMessage &Message) const;
  /// Any payload with magic, version and signature before it.
  std::string encodeSigned(std::string_view Payload) const;
  /// \returns the payload of a sealed text whose signature is right.
  std::variant<std::string_view, DropReason>
  decodeSigned(std::string_view Data) const;
  /// Reads nothing of a payload before its authentication has passed.
  std::variant<PeerMessage, DropReason> decode(std::string_view Datagram) const;

private:
  std::string m_Key;
};

} // namespace yardrill::peer

#endif
