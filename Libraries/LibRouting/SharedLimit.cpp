#include "LibRouting/SharedLimit.h"

#include <algorithm>

namespace yardrill::routing {

/// Answers that were made before a limit was named may come after one that
/// names it.
static constexpr std::chrono::seconds ReorderTime{1};

bool SharedLimit::hear(const LimitWord &Word) {
  if (Word.m_At < m_Word.m_At)
    return false;
  if (!Word.m_PerSecond && isNamed() && Word.m_At - m_Word.m_At < ReorderTime)
    return false;
  bool IsChanged = m_Word.m_PerSecond != Word.m_PerSecond;
  m_Word = Word;
  return IsChanged;
}

void SharedLimit::setSenders(std::size_t Senders, core::TimePoint Now) {
  if (m_Senders == 0 && Senders != 0 && m_LastAt <= Now) {
    m_LastAt = Now;
    m_Taken = 1 + Tolerance;
  }
  m_Senders = Senders;
}

double SharedLimit::paceSeconds() const {
  return static_cast<double>(m_Senders) /
         std::max(*m_Word.m_PerSecond, LeastPerSecond);
}

void SharedLimit::noteSent(core::TimePoint Now) {
  if (!isNamed() || !isSender())
    return;
  double Passed = core::toSeconds(Now - m_LastAt) / paceSeconds();
  m_Taken = std::max(0.0, m_Taken - Passed) + 1;
  m_LastAt = Now;
}

std::optional<core::TimePoint> SharedLimit::opensAt() const {
  if (!isNamed())
    return core::TimePoint();
  if (!isSender())
    return std::nullopt;
  return m_LastAt + core::fromSeconds((m_Taken - Tolerance) * paceSeconds());
}

} // namespace yardrill::routing
