//===-- StreamOriginTable.h - Where recent streams have begun -------------===//
#ifndef YARDRILL_LIBGATEWAY_STREAMORIGINTABLE_H
#define YARDRILL_LIBGATEWAY_STREAMORIGINTABLE_H

#include "LibCore/Time.h"
#include "LibGateway/StreamOrigin.h"

#include <set>
#include <unordered_map>

namespace yardrill::gateway {

/// A stream that this instance or another one relays, or has relayed.
struct StreamRecord {
  StreamOrigin m_Origin;
  core::TimePoint
      m_KeptUntil{}; ///< End of the time in which it may be resumed.
  /// Route and pool of a stream that this instance relays; empty for others.
  StreamRoute m_Route;
  bool m_IsOwn = false;
  /// Whether an own record was sent to other instances.
  bool m_IsReplicated = false;
};

/// Bounded table of streams; used by StreamOriginExchange.
class StreamOriginTable {
public:
  /// Limit on the records, above which those that end first are evicted: twice
  /// what a busy instance has when it keeps those of others for a minute.
  static constexpr std::size_t MaxRecords = 16384;
  using Records = std::unordered_map<StreamKey, StreamRecord>;

  /// Adds or replaces a record. An own record stays one.
  void put(const StreamKey &Key, StreamRecord Record);
  void erase(const StreamKey &Key);
  void removeExpired(core::TimePoint Now);
  /// Returns the record, or null if there is none.
  StreamRecord *find(const StreamKey &Key);
  Records &all() { return m_Records; }
  const Records &all() const { return m_Records; }
  std::size_t size() const { return m_Records.size(); }

private:
  Records m_Records;
  std::set<std::pair<core::TimePoint, StreamKey>> m_ByEnd;
};

} // namespace yardrill::gateway

#endif
