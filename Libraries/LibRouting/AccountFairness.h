//===-- AccountFairness.h - Order of client accounts that wait ------------===//
#ifndef YARDRILL_LIBROUTING_ACCOUNTFAIRNESS_H
#define YARDRILL_LIBROUTING_ACCOUNTFAIRNESS_H

#include "LibRouting/RoutingTable.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

struct PlacementRequest;

/// Orders waiting requests of one pool and priority by their accounts' shares
/// of slot time.
///
/// Answers an account that sends many times its usual requests while slots are
/// scarce: in order of arrival, it would take slots in proportion to what it
/// sends. Start-time fair queueing (Goyal, Vin and Cheng, 1996) with equal
/// weights: a request's start tag is the finish tag of its account's previous
/// request, but no less than the virtual time at its arrival; its finish tag is
/// later by its cost. The virtual time is the start tag of the request that was
/// sent last. The lowest start tag goes first, so that an account waits behind
/// its own requests, and one that was idle behind nobody. A large request
/// delays only its account's next one.
///
/// The cost is the expected slot time in units of the tier's mean one, which
/// tags of a single tier can do without: the mean of the request's prompt
/// tokens and expected events, each relative to their average. Which of them
/// determines the slot time depends on the target, so that they weigh alike.
///
/// Within an account the order is by the due time of the first attempt.
/// Requests without an account count as one account. State exists only while
/// requests wait, and an account's only until the virtual time has passed its
/// finish tag. A request that is withdrawn costs its account nothing.
class AccountFairness {
public:
  /// Adds a request that is about to be sent or to wait.
  void add(const PlacementRequest &Request);
  /// Removes a request and charges its account.
  void recordSent(const PlacementRequest &Request);
  /// Removes a request that was not sent; without effect on others.
  void remove(const PlacementRequest &Request);
  /// Returns the start tag of a request, in units of the tier's mean slot time;
  /// 0 if the request is not known.
  double startTag(core::RequestId Id) const;
  /// Returns for how many accounts of all pools there is state.
  std::size_t accountCount() const;

private:
  struct QueuedRequest {
    core::RequestId m_Id;
    core::TimePoint m_Due;
    double m_Cost = 1;
    double m_ArrivalTag = 0; ///< Virtual time at its arrival.
  };
  struct AccountState {
    std::vector<QueuedRequest> m_Queued; ///< By due time, then by id.
    double m_FinishTag = 0;              ///< Of the requests that were sent.
  };
  /// Accounts of one pool and priority of which requests wait.
  struct Queue {
    std::unordered_map<core::AccountName, AccountState> m_Accounts;
    double m_VirtualTime = 0;
    std::size_t m_Waiting = 0;
    /// Number of accounts at which idle ones are removed, so that removal takes
    /// constant time for each request on average.
    std::size_t m_RemovalSize = 0;
  };
  /// Moving averages over requests for which the figure is known; 0: none yet.
  struct MeanSize {
    double m_PromptTokens = 0;
    double m_Events = 0;
  };
  using QueueKey = std::pair<core::PoolName, Priority>;

  /// Returns the cost of a request, and learns the mean size from it.
  double costOf(const PlacementRequest &Request);
  /// Sets the start tags of an account's requests.
  void updateTags(const AccountState &Account);
  void removeIdle(Queue &Known);
  /// Removes a request from its account.
  void erase(const PlacementRequest &Request, bool IsSent);

  std::map<QueueKey, Queue> m_Queues;
  std::map<QueueKey, MeanSize> m_MeanSizes;
  std::unordered_map<core::RequestId, double> m_StartTags;
};

} // namespace yardrill::routing

#endif
