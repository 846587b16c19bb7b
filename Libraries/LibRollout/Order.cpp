#include "LibRollout/Order.h"

#include <sstream>

namespace yardrill::rollout {

static const char OrderWord[] = "order";
static const char SeenWord[] = "seen";
static const char ExcludedWord[] = "excluded";

std::string Record::toText() const {
  std::ostringstream Out;
  Out << OrderWord << ' ' << m_Order << '\n'
      << SeenWord << ' ' << m_SeenAtWallSeconds << '\n';
  for (const core::TargetVersion &Each : m_Excluded)
    Out << ExcludedWord << ' ' << Each << '\n';
  return Out.str();
}

std::optional<Record> Record::parse(const std::string &Text) {
  Record Out;
  bool HasOrder = false;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    std::istringstream Words(Line);
    std::string Word;
    std::int64_t Number = 0;
    Words >> Word;
    if (Word == OrderWord && Words >> Number) {
      Out.m_Order = OrderId(Number);
      HasOrder = true;
    } else if (Word == SeenWord && Words >> Number) {
      Out.m_SeenAtWallSeconds = Number;
    } else if (Word == ExcludedWord && Line.size() > sizeof ExcludedWord) {
      Out.m_Excluded.insert(
          core::TargetVersion(Line.substr(sizeof ExcludedWord)));
    } else {
      return std::nullopt;
    }
  }
  if (!HasOrder)
    return std::nullopt;
  return Out;
}

} // namespace yardrill::rollout
