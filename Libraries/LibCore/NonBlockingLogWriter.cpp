#include "LibCore/NonBlockingLogWriter.h"

#include "LibCore/Log.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace yardrill::core {

/// A pipe that polls writable accepts this much without blocking (POSIX).
static constexpr std::size_t WriteChunkBytes = 4096;

bool NonBlockingLogWriter::tryTakeToken(TimePoint Now) {
  if (m_RefilledAt == TimePoint())
    m_RefilledAt = Now;
  m_LineTokens =
      std::min(m_Limits.m_Burst, m_LineTokens + toSeconds(Now - m_RefilledAt) *
                                                    m_Limits.m_LinesPerSecond);
  m_RefilledAt = Now;
  if (m_LineTokens < 1)
    return false;
  m_LineTokens -= 1;
  return true;
}

void NonBlockingLogWriter::add(const std::string &Line, TimePoint Now) {
  bool HasRoom = m_Buffer.size() + Line.size() < m_Limits.m_BufferBytes;
  if (!HasRoom || !tryTakeToken(Now)) {
    ++m_UnreportedDropped;
    ++m_TotalDropped;
    return;
  }
  appendDropReport();
  m_Buffer += Line;
  m_Buffer += '\n';
}

void NonBlockingLogWriter::appendDropReport() {
  if (m_UnreportedDropped == 0)
    return;
  m_Buffer += "level=warning event=log-lines-dropped count=" +
              std::to_string(m_UnreportedDropped) + "\n";
  m_UnreportedDropped = 0;
}

void NonBlockingLogWriter::flush(TimePoint Now) {
  if (m_UnreportedDropped != 0 &&
      m_Buffer.size() < m_Limits.m_BufferBytes / 2 && tryTakeToken(Now))
    appendDropReport();
  std::size_t Written = 0;
  while (Written < m_Buffer.size()) {
    pollfd Poll{m_Descriptor, POLLOUT, 0};
    if (poll(&Poll, 1, 0) != 1 || (Poll.revents & POLLOUT) == 0)
      break;
    std::size_t Size = std::min(WriteChunkBytes, m_Buffer.size() - Written);
    ssize_t Count = write(m_Descriptor, m_Buffer.data() + Written, Size);
    if (Count <= 0)
      break;
    Written += static_cast<std::size_t>(Count);
  }
  m_Buffer.erase(0, Written);
}

} // namespace yardrill::core
