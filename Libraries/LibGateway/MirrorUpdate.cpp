//===-- MirrorUpdate.cpp - Store state sent between instances -------------===//
#include "LibGateway/MirrorUpdate.h"

#include "LibCore/Error.h"
#include "LibGateway/ValuePatch.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace yardrill::platform {

/// Found by cereal through argument-dependent lookup.
template <class Archive> void serialize(Archive &Ar, Entry &E) {
  Ar(E.m_Key, E.m_Value, E.m_ModRevision, E.m_IsDeleted, E.m_IsValueOmitted);
}

} // namespace yardrill::platform

namespace yardrill::gateway {

static void omitLargeValues(std::vector<platform::Entry> &Entries) {
  for (platform::Entry &Each : Entries) {
    if (!isLargeValue(Each.m_Value))
      continue;
    Each.m_Value.clear();
    Each.m_IsValueOmitted = true;
  }
}

MirrorUpdate MirrorUpdate::since(const platform::StoreMirror &Mirror,
                                 platform::Revision After) {
  MirrorUpdate Out;
  Out.m_At = Mirror.revision();
  auto Changes = Mirror.changesSince(After);
  Out.m_IsSnapshot = !Changes;
  if (Changes)
    Out.m_Entries = std::move(*Changes);
  omitLargeValues(Out.m_Entries);
  return Out;
}

MirrorUpdate MirrorUpdate::snapshot(const platform::StoreMirror &Mirror) {
  MirrorUpdate Out;
  Out.m_At = Mirror.revision();
  Out.m_IsSnapshot = true;
  Out.m_Entries = Mirror.content();
  omitLargeValues(Out.m_Entries);
  return Out;
}

void MirrorUpdate::applyTo(platform::StoreMirror &Mirror) const {
  if (m_IsSnapshot)
    Mirror.replaceAll(m_At, m_Entries);
  else
    Mirror.apply(m_At, m_Entries);
}

template <class Message> static std::string encoded(const Message &M) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(Out);
    Archive(M);
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

template <class Archive> static void serialize(Archive &Ar, MirrorUpdate &M) {
  Ar(M.m_At, M.m_IsSnapshot, M.m_Entries);
}

template <class Archive> static void serialize(Archive &Ar, ValueQuery &M) {
  Ar(M.m_Key, M.m_HeldRevision);
}

template <class Archive> static void serialize(Archive &Ar, ValueTransfer &M) {
  Ar(M.m_ModRevision, M.m_Base, M.m_Patch);
}

/// First byte of an encoded update.
static constexpr char Plain = 'p';
static constexpr char Compressed = 'z';
/// Smallest text that is compressed. Shorter ones hardly shrink, and
/// compressing them costs some 20 us.
static constexpr std::size_t MinCompressedBytes = 1024;
static constexpr std::size_t MaxDecodedBytes = 64UL * 1024 * 1024;

std::string MirrorUpdate::encode() const {
  std::string Text = encoded(*this);
  // Announcements of targets repeat most of their text: 0.9 MB for 3,000
  // targets compress to 0.1 MB.
  if (Text.size() >= MinCompressedBytes)
    return Compressed + makePatch({}, Text);
  return Plain + Text;
}

MirrorUpdate MirrorUpdate::decode(std::string_view Text) {
  if (Text.empty() || (Text.front() != Plain && Text.front() != Compressed))
    throw core::Error(core::ErrorKind::Protocol,
                      "unknown format of a mirror update");
  bool IsCompressed = Text.front() == Compressed;
  Text.remove_prefix(1);
  if (!IsCompressed)
    return decoded<MirrorUpdate>(Text);
  return decoded<MirrorUpdate>(applyPatch({}, Text, MaxDecodedBytes));
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
