#include "LibGateway/StoreTransfer.h"

#include "LibCore/Error.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace yardrill::platform {

/// cereal's hook.
template <class Archive> void serialize(Archive &Ar, Entry &What) {
  Ar(What.m_Key, What.m_Value, What.m_Modified, What.m_IsDeleted,
     What.m_IsDetached);
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
  for (platform::Entry &Each : Out.m_Entries) {
    if (!isLargeValue(Each.m_Value))
      continue;
    Each.m_Value.clear();
    Each.m_IsDetached = true;
  }
  return Out;
}

void StoreTransfer::applyTo(platform::StoreMirror &Mirror) const {
  if (m_IsWhole)
    Mirror.replaceAll(m_At, m_Entries);
  else
    Mirror.apply(m_At, m_Entries);
}

template <class Message> static std::string encoded(const Message &What) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(Out);
    Archive(What);
  }
  return Out.str();
}

template <class Message> static Message decoded(std::string_view Text) {
  Message Out;
  try {
    std::istringstream In{std::string(Text)};
    cereal::PortableBinaryInputArchive Archive(In);
    Archive(Out);
  } catch (const std::exception &Failure) {
    throw core::Error(core::ErrorKind::Protocol, Failure.what());
  }
  return Out;
}

template <class Archive> static void serialize(Archive &Ar, StoreTransfer &M) {
  Ar(M.m_At, M.m_IsWhole, M.m_Entries);
}

template <class Archive> static void serialize(Archive &Ar, ValueQuery &M) {
  Ar(M.m_Key, M.m_Held);
}

template <class Archive> static void serialize(Archive &Ar, ValueTransfer &M) {
  Ar(M.m_Modified, M.m_Base, M.m_Patch);
}

std::string StoreTransfer::encode() const { return encoded(*this); }

StoreTransfer StoreTransfer::decode(std::string_view Text) {
  return decoded<StoreTransfer>(Text);
}

std::string ValueQuery::encode() const { return encoded(*this); }

ValueQuery ValueQuery::decode(std::string_view Text) {
  return decoded<ValueQuery>(Text);
}

std::string ValueTransfer::encode() const { return encoded(*this); }

ValueTransfer ValueTransfer::decode(std::string_view Text) {
  return decoded<ValueTransfer>(Text);
}

} // namespace yardrill::gateway
