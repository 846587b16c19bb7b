//===-- PoolQueue.h - Waiting requests of one pool ------------------------===//
#ifndef YARDRILL_LIBDECISION_POOLQUEUE_H
#define YARDRILL_LIBDECISION_POOLQUEUE_H

#include "LibCore/StrongType.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace yardrill::decision {

/// Orders by tier, then fairly between client accounts, then by the policy's
/// order, then by arrival.
/// Fair is start-time fair queueing: an account's next request may start when
/// its earlier ones, divided by its weight, have had their turn.
class PoolQueue {
public:
  struct Entry {
    core::RequestId m_Request;
    core::TierNumber m_Tier;
    core::AccountName m_Account;
    double m_Weight = 1;
    double m_Cost = 1;  ///< Expected work, in any one unit.
    double m_Order = 0; ///< Within tier and account, smaller goes first.
    bool m_IsSheddable = true;
  };

  void push(const Entry &Item);
  /// Puts a request back in front of its account's others.
  void pushFront(const Entry &Item);
  /// Next to run among tiers up to \p LowestTier.
  std::optional<core::RequestId> front(core::TierNumber LowestTier) const;
  /// The request that is refused first: lowest tier, latest arrival there,
  /// among those that may be shed.
  std::optional<Entry> shedCandidate() const;
  /// Takes out a request that runs now: its account's turn is used.
  /// \returns false when it does not wait here.
  bool dequeue(core::RequestId Request);
  /// Takes out a request that does not run: its account keeps its turn.
  bool remove(core::RequestId Request);

  std::size_t size() const { return m_Locations.size(); }
  bool isEmpty() const { return m_Locations.empty(); }

private:
  /// The policy's order, then the arrival.
  using Position = std::pair<double, std::int64_t>;
  struct AccountQueue {
    std::map<Position, Entry> m_Waiting;
    double m_StartTag = 0; ///< Virtual time at which its first may start.
  };
  struct TierQueue {
    std::unordered_map<core::AccountName, AccountQueue> m_Accounts;
    std::set<std::pair<double, core::AccountName>> m_Order;
    std::list<core::RequestId> m_Sheddable;
    double m_VirtualTime = 0;
    std::size_t m_Size = 0;
  };
  struct Location {
    core::TierNumber m_Tier;
    core::AccountName m_Account;
    std::map<Position, Entry>::iterator m_Entry;
    /// None when it may not be shed.
    std::optional<std::list<core::RequestId>::iterator> m_Arrival;
  };

  void insert(const Entry &Item, bool IsFront);
  bool erase(core::RequestId Request, bool IsServed);

  std::map<core::TierNumber, TierQueue> m_Tiers;
  std::unordered_map<core::RequestId, Location> m_Locations;
  std::int64_t m_NextBack = 1;
  std::int64_t m_NextFront = -1;
};

} // namespace yardrill::decision

#endif
