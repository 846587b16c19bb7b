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

/// Largest datagram; fits one Ethernet frame, so that none is fragmented.
inline constexpr std::size_t MaxDatagramBytes = 1400;

/// Version of all messages between peers; other versions are dropped.
inline constexpr char ProtocolVersion = 8;

/// Reason for which a datagram is dropped; each has a metric of its own.
enum class DropReason {
  TooLarge,
  Garbage, ///< Wrong magic bytes, or a payload that cannot be decoded.
  OtherVersion,
  WrongKey,
  Stale,        ///< Time of sending too far from the receiver's clock.
  Replayed,     ///< Sequence number not above the sender's last one.
  TooManyPeers, ///< The peer directory is full.
};

const char *toString(DropReason Reason);
/// Returns the name of the metric that counts datagrams dropped for \p Reason.
std::string droppedCounterName(DropReason Reason);

/// Encodes peer messages and signs them with the key that all instances share.
class PeerCodec {
public:
  explicit PeerCodec(std::string Key) : m_Key(std::move(Key)) {}

  /// Encodes and signs \p Message.
  /// \throws core::Error of kind LimitExceeded above MaxDatagramBytes.
  std::string encode(const PeerMessage &Message) const;
  /// Returns \p Payload preceded by magic, version and signature.
  std::string encodeSigned(std::string_view Payload) const;
  /// Verifies the output of encodeSigned(). \returns its payload, which points
  /// into \p Data, or the reason why it is invalid.
  std::variant<std::string_view, DropReason>
  decodeSigned(std::string_view Data) const;
  /// Decodes a datagram; its signature is verified before its payload is read.
  std::variant<PeerMessage, DropReason> decode(std::string_view Datagram) const;

private:
  std::string m_Key;
};

} // namespace yardrill::peer

#endif
