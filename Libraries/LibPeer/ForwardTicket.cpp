#include "LibPeer/ForwardTicket.h"

#include "LibCore/Digest.h"

#include <cereal/archives/portable_binary.hpp>
#include <cstdlib>
#include <sstream>

namespace yardrill::peer {

std::string ForwardTicket::encode(const PeerCodec &Codec) const {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(Out);
    Archive(*this);
  }
  return core::toBase64(Codec.encodeSigned(Out.str()));
}

std::optional<ForwardTicket>
ForwardTicket::decode(const std::string &Text, const PeerCodec &Codec,
                      const config::Endpoint &Self,
                      std::int64_t NowWallSeconds) {
  ForwardTicket Out;
  try {
    std::string Signed = core::fromBase64(Text);
    auto Payload = Codec.decodeSigned(Signed);
    if (std::holds_alternative<DropReason>(Payload))
      return std::nullopt;
    std::istringstream In{std::string(std::get<std::string_view>(Payload))};
    cereal::PortableBinaryInputArchive Archive(In);
    Archive(Out);
  } catch (const std::exception &) {
    return std::nullopt;
  }
  if (!(Out.m_To == Self) ||
      std::abs(NowWallSeconds - Out.m_WallSeconds) > MaxAgeSeconds)
    return std::nullopt;
  return Out;
}

} // namespace yardrill::peer
