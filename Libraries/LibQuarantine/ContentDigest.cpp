#include "LibQuarantine/ContentDigest.h"

#include "LibCore/Digest.h"

#include <charconv>
#include <cstdio>

namespace yardrill::quarantine {

static constexpr std::size_t HexDigitsOfHalf = 16;
static constexpr int HexBase = 16;
/// Upper half of m_Low of parts, "part" in ASCII.
static constexpr std::uint32_t PartTag = 0x70617274;
static constexpr int TagShift = 32;

static std::uint64_t readBigEndian(std::string_view Bytes) {
  std::uint64_t Out = 0;
  for (char Each : Bytes)
    Out = Out << 8 | static_cast<unsigned char>(Each);
  return Out;
}

ContentDigest ContentDigest::of(const Content &Parts) {
  std::string Hash =
      core::sha256LengthPrefixed({Parts.m_Account, Parts.m_Host, Parts.m_Method,
                                  Parts.m_Target, Parts.m_Body});
  std::string_view Bytes = Hash;
  return {readBigEndian(Bytes.substr(0, sizeof(std::uint64_t))),
          readBigEndian(
              Bytes.substr(sizeof(std::uint64_t), sizeof(std::uint64_t)))};
}

static std::optional<std::uint64_t> parseHalf(std::string_view Text) {
  std::uint64_t Out = 0;
  const char *End = Text.data() + Text.size();
  auto [Last, Failure] = std::from_chars(Text.data(), End, Out, HexBase);
  if (Failure != std::errc() || Last != End)
    return std::nullopt;
  return Out;
}

ContentDigest ContentDigest::ofPart(std::uint32_t Pool, std::string_view Part) {
  std::uint64_t Low = static_cast<std::uint64_t>(PartTag) << TagShift | Pool;
  bool IsShort = !Part.empty() && Part.size() <= HexDigitsOfHalf;
  auto Id = IsShort ? parseHalf(Part) : std::nullopt;
  return {Id ? *Id : core::stableHash(Part), Low};
}

bool ContentDigest::isPart() const { return m_Low >> TagShift == PartTag; }

std::optional<ContentDigest> ContentDigest::parse(std::string_view Text) {
  if (Text.size() != 2 * HexDigitsOfHalf)
    return std::nullopt;
  auto High = parseHalf(Text.substr(0, HexDigitsOfHalf));
  auto Low = parseHalf(Text.substr(HexDigitsOfHalf));
  if (!High || !Low)
    return std::nullopt;
  return ContentDigest{*High, *Low};
}

std::string ContentDigest::toString() const {
  char Text[2 * HexDigitsOfHalf + 1];
  std::snprintf(Text, sizeof Text, "%016llx%016llx",
                static_cast<unsigned long long>(m_High),
                static_cast<unsigned long long>(m_Low));
  return Text;
}

std::ostream &operator<<(std::ostream &Out, const ContentDigest &Digest) {
  return Out << Digest.toString();
}

} // namespace yardrill::quarantine
