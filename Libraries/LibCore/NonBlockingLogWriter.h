//===-- NonBlockingLogWriter.h - Log output that never blocks -------------===//
#ifndef YARDRILL_LIBCORE_NONBLOCKINGLOGWRITER_H
#define YARDRILL_LIBCORE_NONBLOCKINGLOGWRITER_H

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace yardrill::core {

/// Limits of a NonBlockingLogWriter. Normal operation stays far below them.
struct LogWriterLimits {
  double m_LinesPerSecond = 400;
  double m_Burst = 2000;              ///< In lines.
  std::size_t m_BufferBytes = 262144; ///< Maximum held for a slow reader.
};

/// Buffers log lines and writes them to a file descriptor without blocking.
/// Lines beyond the limits are dropped; a log line reports their number when
/// there is room again. Not synchronized: the gateway sets it as the log sink
/// of its only thread.
class NonBlockingLogWriter {
public:
  NonBlockingLogWriter(int Descriptor, const LogWriterLimits &Limits)
      : m_Descriptor(Descriptor), m_Limits(Limits),
        m_LineTokens(Limits.m_Burst) {}

  /// Buffers a line, given without its newline, or drops it.
  void add(const std::string &Line, TimePoint Now);
  /// Writes as much as the descriptor accepts without blocking.
  void flush(TimePoint Now);
  /// Returns the number of lines dropped so far.
  std::uint64_t droppedLines() const { return m_TotalDropped; }

private:
  bool tryTakeToken(TimePoint Now);
  void appendDropReport();

  int m_Descriptor;
  LogWriterLimits m_Limits;
  double m_LineTokens;
  TimePoint m_RefilledAt{};
  std::string m_Buffer;
  std::uint64_t m_UnreportedDropped = 0; ///< Dropped since the last report.
  std::uint64_t m_TotalDropped = 0;
};

} // namespace yardrill::core

#endif
