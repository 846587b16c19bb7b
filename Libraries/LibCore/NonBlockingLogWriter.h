//===-- NonBlockingLogWriter.h - Log lines that never hold the process up
//-----------===//
#ifndef YARDRILL_LIBCORE_NONBLOCKINGLOGWRITER_H
#define YARDRILL_LIBCORE_NONBLOCKINGLOGWRITER_H

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace yardrill::core {

struct LogWriterLimits {
  double m_LinesPerSecond = 400; ///< About twenty times the usual volume.
  double m_Burst = 2000;
  std::size_t m_BufferBytes = 262144; ///< Waiting for a slow reader.
};

/// Collects lines and writes them to a descriptor when that takes some. Lines
/// beyond the budget are dropped and counted; one line says how many, when
/// there is room again. Used on one thread.
class NonBlockingLogWriter {
public:
  NonBlockingLogWriter(int Descriptor, const LogWriterLimits &Limits)
      : m_Descriptor(Descriptor), m_Limits(Limits),
        m_LineTokens(Limits.m_Burst) {}

  void add(const std::string &Line, TimePoint Now);
  /// Writes what the descriptor takes without waiting.
  void flush(TimePoint Now);
  std::uint64_t droppedLines() const { return m_TotalDropped; }

private:
  bool tryTakeToken(TimePoint Now);
  void appendDropReport();

  int m_Descriptor;
  LogWriterLimits m_Limits;
  double m_LineTokens;
  TimePoint m_RefilledAt{};
  std::string m_Buffer;
  std::uint64_t m_UnreportedDropped = 0; ///< Since the last line that said so.
  std::uint64_t m_TotalDropped = 0;
};

} // namespace yardrill::core

#endif
