//===-- CorrelationIds.h - Ids that match responses to requests -----------===//
#ifndef YARDRILL_LIBCORE_CORRELATIONIDS_H
#define YARDRILL_LIBCORE_CORRELATIONIDS_H

#include <cstdint>

namespace yardrill::core {

/// Gives out ids for messages that are answered or referred to later. 0 is left
/// to those that are not.
class CorrelationIds {
public:
  /// \param First first id. Random, so that a late response to a message of an
  /// earlier process of this instance matches none of this one.
  explicit CorrelationIds(std::uint64_t First) : m_Next(First) {}

  std::uint64_t next() {
    if (m_Next == 0)
      ++m_Next;
    return m_Next++;
  }

private:
  std::uint64_t m_Next;
};

} // namespace yardrill::core

#endif
