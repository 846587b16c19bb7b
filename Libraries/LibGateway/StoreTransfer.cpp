#include "LibGateway/StoreTransfer.h"

#include "LibCore/Error.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace yardrill::platform {

/// cereal's hook.
template <class Archive> void serialize(Archive &Ar, Entry &What) {
  Ar(What.m_Key, What.m_Value, What.m_Modified, What.m_IsDeleted);
}

} // namespace yardrill::platform

namespace yardrill::gateway {

StoreTransfer StoreTransfer::from(const platform::StoreMirror &Mirror,
                                  platform::Revision After) {
  StoreTransfer Out;
  Out.m_At = Mirror.revision();
  auto Changes = Mirror.changesSince(After);
  Out.m_IsWhole = !Changes;
  Out.m_Entries = Changes ? *Changes : Mirror.content();
  return Out;
}

void StoreTransfer::applyTo(platform::StoreMirror &Mirror) const {
  if (m_IsWhole)
    Mirror.replaceAll(m_At, m_Entries);
  else
    Mirror.apply(m_At, m_Entries);
}

std::string StoreTransfer::encode() const {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(Out);
    Archive(m_At, m_IsWhole, m_Entries);
  }
  return Out.str();
}

StoreTransfer StoreTransfer::decode(std::string_view Text) {
  StoreTransfer Out;
  try {
    std::istringstream In{std::string(Text)};
    cereal::PortableBinaryInputArchive Archive(In);
    Archive(Out.m_At, Out.m_IsWhole, Out.m_Entries);
  } catch (const std::exception &Failure) {
    throw core::Error(core::ErrorKind::Protocol, Failure.what());
  }
  return Out;
}

} // namespace yardrill::gateway
