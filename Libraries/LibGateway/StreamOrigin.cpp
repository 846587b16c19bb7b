#include "LibGateway/StreamOrigin.h"

#include "LibCore/Digest.h"

#include <cstring>
#include <string>

namespace yardrill::gateway {

StreamKey StreamKey::of(std::string_view Account, std::string_view Host,
                        std::string_view Target, std::string_view Attempt) {
  std::string Hash =
      core::sha256LengthPrefixed({Account, Host, Target, Attempt});
  StreamKey Out;
  std::memcpy(&Out.m_High, Hash.data(), sizeof Out.m_High);
  std::memcpy(&Out.m_Low, Hash.data() + sizeof Out.m_High, sizeof Out.m_Low);
  return Out;
}

} // namespace yardrill::gateway
