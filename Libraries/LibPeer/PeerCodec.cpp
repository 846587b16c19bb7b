//===-- PeerCodec.cpp - Peer messages as authenticated datagrams ----------===//
#include "LibPeer/PeerCodec.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace yardrill::peer {

static const std::string_view Magic = "YD";
static const std::size_t VersionOffset = 2;
static const std::size_t SignatureOffset = 3;
static const std::size_t SignatureBytes = 32;
static const std::size_t PayloadOffset = SignatureOffset + SignatureBytes;

const char *toString(DropReason Reason) {
  switch (Reason) {
  case DropReason::TooLarge:
    return "too-large";
  case DropReason::Garbage:
    return "garbage";
  case DropReason::OtherVersion:
    return "other-version";
  case DropReason::WrongKey:
    return "wrong-key";
  case DropReason::Stale:
    return "stale";
  case DropReason::Replayed:
    return "replayed";
  case DropReason::TooManyPeers:
    return "too-many-peers";
  }
  return "unknown";
}

std::string droppedCounterName(DropReason Reason) {
  std::string Name = toString(Reason);
  std::replace(Name.begin(), Name.end(), '-', '_');
  return "yardrill_peer_datagrams_dropped_" + Name + "_total";
}

static std::string sign(const std::string &Key, std::string_view Payload) {
  std::string Signed(1, ProtocolVersion);
  Signed += Payload;
  return core::hmacSha256(Key, Signed);
}

std::string PeerCodec::encodeSigned(std::string_view Payload) const {
  std::string Data(Magic);
  Data += ProtocolVersion;
  Data += sign(m_Key, Payload);
  Data += Payload;
  return Data;
}

std::variant<std::string_view, DropReason>
PeerCodec::decodeSigned(std::string_view Data) const {
  if (Data.size() < PayloadOffset || Data.substr(0, VersionOffset) != Magic)
    return DropReason::Garbage;
  if (Data[VersionOffset] != ProtocolVersion)
    return DropReason::OtherVersion;
  std::string_view Payload = Data.substr(PayloadOffset);
  if (!core::isEqualConstantTime(Data.substr(SignatureOffset, SignatureBytes),
                                 sign(m_Key, Payload)))
    return DropReason::WrongKey;
  return Payload;
}

std::string PeerCodec::encode(const PeerMessage &Message) const {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(Out);
    Archive(Message);
  }
  std::string Datagram = encodeSigned(Out.str());
  if (Datagram.size() > MaxDatagramBytes)
    throw core::Error(core::ErrorKind::LimitExceeded,
                      "encoded message does not fit a datagram");
  return Datagram;
}

std::variant<PeerMessage, DropReason>
PeerCodec::decode(std::string_view Datagram) const {
  if (Datagram.size() > MaxDatagramBytes)
    return DropReason::TooLarge;
  auto Payload = decodeSigned(Datagram);
  if (const auto *Reason = std::get_if<DropReason>(&Payload))
    return *Reason;
  try {
    std::istringstream In{std::string(std::get<std::string_view>(Payload))};
    cereal::PortableBinaryInputArchive Archive(In);
    PeerMessage Message;
    Archive(Message);
    return Message;
  } catch (const std::exception &) {
    return DropReason::Garbage;
  }
}

} // namespace yardrill::peer
