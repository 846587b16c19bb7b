//===-- StreamOriginRecord.cpp - Origins of streams in the store ----------===//
#include "LibGateway/StreamOriginRecord.h"

#include "LibCore/Digest.h"
#include "LibGateway/StoreRecord.h"

#include <cinttypes>
#include <cstdio>
#include <sstream>

namespace yardrill::gateway {

static const char NamePrefix[] = "stream-origins/";

std::string StreamOriginRecord::nameOf(const config::Endpoint &Instance) {
  return NamePrefix + Instance.toString();
}

bool StreamOriginRecord::isRecordKey(const std::string &Key) {
  static const std::string Prefix = StoreRecord::keyOf(NamePrefix);
  return Key.compare(0, Prefix.size(), Prefix) == 0;
}

static std::string toText(const StreamKey &Key) {
  char Text[33];
  std::snprintf(Text, sizeof Text, "%016" PRIx64 "%016" PRIx64, Key.m_High,
                Key.m_Low);
  return Text;
}

// One line for each stream: its key, the hash of the pool, and the version in
// hexadecimal.
void StreamOriginRecord::append(std::string &Text, const StreamKey &Key,
                                const StreamOrigin &Origin) {
  Text += toText(Key) + ' ' + std::to_string(Origin.m_Pool) + ' ' +
          core::toHex(Origin.m_Version.value()) + '\n';
}

static std::optional<std::pair<StreamKey, StreamOrigin>>
parseLine(const std::string &Text) {
  std::istringstream Line(Text);
  std::string KeyText;
  std::string Version;
  StreamOrigin Origin;
  StreamKey Key;
  if (!(Line >> KeyText >> Origin.m_Pool >> Version) ||
      std::sscanf(KeyText.c_str(), "%16" SCNx64 "%16" SCNx64, &Key.m_High,
                  &Key.m_Low) != 2)
    return std::nullopt;
  Origin.m_Version = core::TargetVersion(core::fromHex(Version));
  return std::make_pair(Key, Origin);
}

StreamOriginRecord::Streams StreamOriginRecord::parse(const std::string &Text) {
  Streams Out;
  std::istringstream Lines(Text);
  // A line without its end may lack part of the version.
  for (std::string Line; std::getline(Lines, Line) && !Lines.eof();)
    if (auto Stream = parseLine(Line))
      Out.push_back(std::move(*Stream));
  return Out;
}

std::optional<StreamOrigin> StreamOriginRecord::find(const std::string &Text,
                                                     const StreamKey &Key) {
  std::size_t Begin = Text.find(toText(Key) + ' ');
  std::size_t End = Text.find('\n', Begin);
  if (Begin == std::string::npos || End == std::string::npos)
    return std::nullopt;
  auto Stream = parseLine(Text.substr(Begin, End - Begin));
  if (!Stream || !(Stream->first == Key))
    return std::nullopt;
  return std::move(Stream->second);
}

} // namespace yardrill::gateway
