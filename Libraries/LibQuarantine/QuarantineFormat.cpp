#include "LibQuarantine/QuarantineFormat.h"

#include <charconv>
#include <sstream>

namespace yardrill::quarantine {

static constexpr int HexBase = 16;
static constexpr char ClearedMark = '-';

std::string formatObservations(const std::vector<Observation> &Observed) {
  std::ostringstream Out;
  const ContentDigest *Before = nullptr;
  for (const Observation &Each : Observed) {
    if (!Before || !(*Before == Each.m_Content))
      Out << (Before ? "\n" : "") << Each.m_Content;
    Before = &Each.m_Content;
    Out << ' ' << std::hex << Each.m_Incarnation;
    if (Each.m_IsCleared)
      Out << ClearedMark;
  }
  if (Before)
    Out << '\n';
  return Out.str();
}

static std::optional<Observation> parseObservation(const ContentDigest &Content,
                                                   const std::string &Word) {
  Observation Out;
  Out.m_Content = Content;
  const char *End = Word.data() + Word.size();
  auto [Last, Failure] =
      std::from_chars(Word.data(), End, Out.m_Incarnation, HexBase);
  if (Failure != std::errc())
    return std::nullopt;
  Out.m_IsCleared = Last != End && *Last == ClearedMark;
  if (Last + (Out.m_IsCleared ? 1 : 0) != End)
    return std::nullopt;
  return Out;
}

std::optional<std::vector<Observation>>
parseObservations(const std::string &Text) {
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
      auto Observed = parseObservation(*Content, Word);
      if (!Observed)
        return std::nullopt;
      Out.push_back(*Observed);
    }
  }
  return Out;
}

std::optional<std::string> withContentCleared(const std::string &Text,
                                              const ContentDigest &Content) {
  auto Observed = parseObservations(Text);
  if (!Observed)
    return std::nullopt;
  bool IsThere = false;
  for (Observation &Each : *Observed) {
    if (!(Each.m_Content == Content))
      continue;
    IsThere = true;
    Each.m_IsCleared = true;
  }
  if (!IsThere)
    return std::nullopt;
  return formatObservations(*Observed);
}

} // namespace yardrill::quarantine
