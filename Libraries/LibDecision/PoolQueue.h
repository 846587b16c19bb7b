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

/// Priority queue of waiting requests: ordered by tier, then fairly between
/// client accounts, then by the policy's order, then by arrival. Used by
/// PoolScheduler.
///
/// Fairness is start-time fair queueing: each request that is served advances
/// its account's start tag by the request's cost divided by the account's
/// weight, and the account with the smallest start tag is served next.
class PoolQueue {
public:
  /// A waiting request.
  struct Entry {
    core::RequestId m_Request;
    core::TierNumber m_Tier;
    core::AccountName m_Account;
    double m_Weight = 1;
    double m_Cost = 1;  ///< Expected work, in the same unit for all entries.
    double m_Order = 0; ///< Order within tier and account; smaller is first.
    bool m_IsSheddable = true;
  };

  void push(const Entry &Item);
  /// Puts a request back, ahead of the others of its account with the same
  /// m_Order.
  void pushFront(const Entry &Item);
  /// Returns the next request to serve among the tiers from the highest down to
  /// \p LowestTier.
  std::optional<core::RequestId> front(core::TierNumber LowestTier) const;
  /// Returns the request to shed first: the latest arrival of the lowest tier
  /// that has sheddable requests.
  std::optional<Entry> shedCandidate() const;
  /// Removes a request that is served now and charges its account.
  /// \returns false if the request is not in the queue.
  bool dequeue(core::RequestId Request);
  /// Removes a request that is not served, without charging its account.
  /// \returns false if the request is not in the queue.
  bool remove(core::RequestId Request);

  std::size_t size() const { return m_Locations.size(); }
  bool isEmpty() const { return m_Locations.empty(); }

private:
  /// Sort key within an account: the policy's order, then the arrival.
  using Position = std::pair<double, std::int64_t>;
  struct AccountQueue {
    std::map<Position, Entry> m_Waiting;
    double m_StartTag = 0; ///< Virtual time at which the next request starts.
  };
  struct TierQueue {
    std::unordered_map<core::AccountName, AccountQueue> m_Accounts;
    /// Accounts with waiting requests, by start tag.
    std::set<std::pair<double, core::AccountName>> m_Order;
    std::list<core::RequestId> m_Sheddable; ///< Sheddable requests by arrival.
    double m_VirtualTime = 0;
    std::size_t m_Size = 0;
  };
  struct Location {
    core::TierNumber m_Tier;
    core::AccountName m_Account;
    std::map<Position, Entry>::iterator m_Entry;
    /// Position in m_Sheddable; empty if the request may not be shed.
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
