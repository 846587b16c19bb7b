#include "LibCore/BoundedLog.h"

#include "LibCore/Log.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace yardrill::core {

/// POSIX: a pipe that polls writable takes this much without blocking.
static constexpr std::size_t PieceBytes = 4096;

bool BoundedLog::takeFromBudget(TimePoint Now) {
  if (m_RefilledAt == TimePoint())
    m_RefilledAt = Now;
  m_Lines = std::min(m_Budget.m_Burst, m_Lines + toSeconds(Now - m_RefilledAt) *
                                                     m_Budget.m_LinesPerSecond);
  m_RefilledAt = Now;
  if (m_Lines < 1)
    return false;
  m_Lines -= 1;
  return true;
}

void BoundedLog::add(const std::string &Line, TimePoint Now) {
  bool HasRoom = m_Buffer.size() + Line.size() < m_Budget.m_BufferBytes;
  if (!HasRoom || !takeFromBudget(Now)) {
    ++m_Dropped;
    ++m_AllDropped;
    return;
  }
  reportDropped();
  m_Buffer += Line;
  m_Buffer += '\n';
}

void BoundedLog::reportDropped() {
  if (m_Dropped == 0)
    return;
  m_Buffer += "level=warning event=log-lines-dropped count=" +
              std::to_string(m_Dropped) + "\n";
  m_Dropped = 0;
}

void BoundedLog::flush(TimePoint Now) {
  if (m_Dropped != 0 && m_Buffer.size() < m_Budget.m_BufferBytes / 2 &&
      takeFromBudget(Now))
    reportDropped();
  std::size_t Written = 0;
  while (Written < m_Buffer.size()) {
    pollfd Wanted{m_Descriptor, POLLOUT, 0};
    if (poll(&Wanted, 1, 0) != 1 || (Wanted.revents & POLLOUT) == 0)
      break;
    std::size_t Size = std::min(PieceBytes, m_Buffer.size() - Written);
    ssize_t Count = write(m_Descriptor, m_Buffer.data() + Written, Size);
    if (Count <= 0)
      break;
    Written += static_cast<std::size_t>(Count);
  }
  m_Buffer.erase(0, Written);
}

} // namespace yardrill::core
