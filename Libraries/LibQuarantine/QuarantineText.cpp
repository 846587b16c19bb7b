#include "LibQuarantine/QuarantineText.h"

#include <charconv>
#include <sstream>

namespace yardrill::quarantine {

static constexpr int HexBase = 16;
static constexpr char ExcusedMark = '-';

std::string toText(const std::vector<Observation> &Seen) {
  std::ostringstream Out;
  const ContentDigest *Before = nullptr;
  for (const Observation &Each : Seen) {
    if (!Before || !(*Before == Each.m_Content))
      Out << (Before ? "\n" : "") << Each.m_Content;
    Before = &Each.m_Content;
    Out << ' ' << std::hex << Each.m_Incarnation;
    if (Each.m_IsExcused)
      Out << ExcusedMark;
  }
  if (Before)
    Out << '\n';
  return Out.str();
}

static std::optional<Observation> readRun(const ContentDigest &Content,
                                          const std::string &Word) {
  Observation Out;
  Out.m_Content = Content;
  const char *End = Word.data() + Word.size();
  auto [Last, Failure] =
      std::from_chars(Word.data(), End, Out.m_Incarnation, HexBase);
  if (Failure != std::errc())
    return std::nullopt;
  Out.m_IsExcused = Last != End && *Last == ExcusedMark;
  if (Last + (Out.m_IsExcused ? 1 : 0) != End)
    return std::nullopt;
  return Out;
}

std::optional<std::vector<Observation>> readText(const std::string &Text) {
  std::vector<Observation> Out;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    std::istringstream Words(Line);
    std::string Word;
    Words >> Word;
    auto Content = ContentDigest::parse(Word);
    if (!Content)
      return std::nullopt;
    while (Words >> Word) {
      auto Seen = readRun(*Content, Word);
      if (!Seen)
        return std::nullopt;
      Out.push_back(*Seen);
    }
  }
  return Out;
}

std::optional<std::string> lifted(const std::string &Text,
                                  const ContentDigest &Content) {
  auto Seen = readText(Text);
  if (!Seen)
    return std::nullopt;
  bool IsThere = false;
  for (Observation &Each : *Seen) {
    if (!(Each.m_Content == Content))
      continue;
    IsThere = true;
    Each.m_IsExcused = true;
  }
  if (!IsThere)
    return std::nullopt;
  return toText(*Seen);
}

} // namespace yardrill::quarantine
