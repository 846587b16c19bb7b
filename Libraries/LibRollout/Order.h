//===-- Order.h - What operators ask for, and what became of it -----------===//
//
// An order moves a pool's traffic to the targets of one version, which are
// started beside the others. Its end is final: completed, and the other targets
// are stopped at once; or rolled back, and those of the version are drained.
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

/// The store's revision of an order: the same words, written again, are
/// another order.
using OrderId = core::StrongType<struct OrderIdTag, std::int64_t>;

struct Order {
  OrderId m_Id;
  core::PoolName m_Pool;
  core::TargetVersion m_Version;
  /// From the order's acknowledgement until its deadline.
  core::Duration m_BakeTime{};
};

enum class State { InProgress, Completed, RolledBack };

/// What operators read.
struct Status {
  State m_State = State::InProgress;
  core::TargetVersion m_Version;

  bool operator==(const Status &Other) const {
    return m_State == Other.m_State && m_Version == Other.m_Version;
  }
};

/// What the status does not say and a fleet that starts anew must know. Written
/// together with it.
struct Record {
  OrderId m_Order; ///< That the status is about.
  /// When the order was first seen, in seconds since 1970, by the clock of who
  /// wrote this.
  std::int64_t m_SeenAtWallSeconds = 0;
  /// Versions that get nothing any more: found bad, left behind by a completed
  /// order, or given up for another one.
  std::set<core::TargetVersion> m_Excluded;

  /// A line for each.
  std::string toText() const;
  /// \returns none when it can't be read.
  static std::optional<Record> parse(const std::string &Text);
};

} // namespace yardrill::rollout

#endif
