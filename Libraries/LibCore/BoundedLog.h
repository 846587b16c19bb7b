//===-- BoundedLog.h - Log lines that never hold the process up -----------===//
#ifndef YARDRILL_LIBCORE_BOUNDEDLOG_H
#define YARDRILL_LIBCORE_BOUNDEDLOG_H

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace yardrill::core {

struct LogBudget {
  double m_LinesPerSecond = 400; ///< About twenty times the usual volume.
  double m_Burst = 2000;
  std::size_t m_BufferBytes = 262144; ///< Waiting for a slow reader.
};

/// Collects lines and writes them to a descriptor when that takes some. Lines
/// beyond the budget are dropped and counted; one line says how many, when
/// there is room again. Used on one thread.
class BoundedLog {
public:
  BoundedLog(int Descriptor, const LogBudget &Budget)
      : m_Descriptor(Descriptor), m_Budget(Budget), m_Lines(Budget.m_Burst) {}

  void add(const std::string &Line, TimePoint Now);
  /// Writes what the descriptor takes without waiting.
  void flush(TimePoint Now);
  std::uint64_t dropped() const { return m_AllDropped; }

private:
  bool takeFromBudget(TimePoint Now);
  void reportDropped();

  int m_Descriptor;
  LogBudget m_Budget;
  double m_Lines;
  TimePoint m_RefilledAt{};
  std::string m_Buffer;
  std::uint64_t m_Dropped = 0; ///< Since the last line that said so.
  std::uint64_t m_AllDropped = 0;
};

} // namespace yardrill::core

#endif
