//===-- Order.h - Roll-out orders, their status and their record ----------===//
//
// An order moves the traffic of a pool to the targets of a new version, which
// run beside the old ones. It ends once: completed, and the old targets are
// stopped at once, or rolled back, and the new targets are drained.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_ORDER_H
#define YARDRILL_LIBROLLOUT_ORDER_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace yardrill::rollout {

/// Identifies an order by the count of its revision in the store. Writing the
/// same text again makes a new order.
using OrderId = core::StrongType<struct OrderIdTag, std::int64_t>;

/// Roll-out that an operator has ordered.
struct Order {
  OrderId m_Id;
  core::PoolName m_Pool;
  core::TargetVersion m_Version; ///< Version to move the traffic to.
  /// Time from the acknowledgement of the order to its deadline.
  core::Duration m_BakeTime{};

  bool operator==(const Order &Other) const {
    return m_Id == Other.m_Id && m_Pool == Other.m_Pool &&
           m_Version == Other.m_Version && m_BakeTime == Other.m_BakeTime;
  }
};

enum class State { InProgress, Completed, RolledBack };

/// Status of the last order of a pool, which operators read from the store.
struct Status {
  State m_State = State::InProgress;
  core::TargetVersion m_Version;

  bool operator==(const Status &Other) const {
    return m_State == Other.m_State && m_Version == Other.m_Version;
  }
};

/// State of a pool's roll-outs that is stored beside the status, for fleets
/// that restart. Written together with the status.
struct Record {
  OrderId m_Order; ///< Order that the status refers to.
  /// Time at which the order was first seen, in seconds since 1970, by the
  /// clock of the instance that wrote the record.
  std::int64_t m_SeenAtWallSeconds = 0;
  /// Versions that get no requests: rolled back, replaced by a completed order,
  /// or abandoned for another order.
  std::set<core::TargetVersion> m_Excluded;

  /// Formats the record as text, with one field on each line.
  std::string toText() const;
  /// Parses the output of toText(). \returns nothing if it is malformed.
  static std::optional<Record> parse(const std::string &Text);
};

} // namespace yardrill::rollout

#endif
