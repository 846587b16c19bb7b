//===-- Dispatcher.h - When and where each request is sent ----------------===//
//
// Pure: time and randomness are handed in, and what it decides comes out
// through hooks.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_DISPATCHER_H
#define YARDRILL_LIBROUTING_DISPATCHER_H

#include "LibRouting/TargetDirectory.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace yardrill::routing {

/// One request that wants a target.
struct PlacementRequest {
  core::RequestId m_Request;
  core::PoolName m_Pool;
  core::TierNumber m_Tier{1};
  std::uint32_t m_PromptTokens = 0;
  bool m_IsModel = false;
  /// Until then it may wait here for a free place. After that it is sent to
  /// the best target even if it has to wait there.
  core::TimePoint m_OfferBy{};
  std::set<core::TargetName> m_Tried; ///< Not again, unless nothing else is.
};

struct DispatcherHooks {
  /// Send the request there now.
  std::function<void(core::RequestId, const Target &)> m_Send;
  /// No target of the pool can take it; nothing was sent.
  std::function<void(core::RequestId)> m_Refuse;
};

enum class PlacementPolicy {
  LeastPredictedWait, ///< By work under way at all instances and learned speed.
  LeastOutstanding,   ///< The baseline: own requests alone, no queue.
};

class Dispatcher {
public:
  Dispatcher(TargetDirectory &Targets, core::DataHallName Home,
             PlacementPolicy Policy, DispatcherHooks Hooks)
      : m_Targets(Targets), m_Home(std::move(Home)), m_Policy(Policy),
        m_Hooks(std::move(Hooks)) {}

  /// Sends, queues or refuses.
  void place(const PlacementRequest &What, core::TimePoint Now);
  /// The request waits no longer. \returns false if it did not wait.
  bool withdraw(core::RequestId Request);
  /// Sends what has a place now and what has waited long enough.
  void dispatchWaiting(core::TimePoint Now);
  std::size_t waiting() const { return m_Waiting.size(); }

private:
  /// Highest tier first, then who must be offered first.
  using QueueKey =
      std::tuple<core::TierNumber, core::TimePoint, core::RequestId>;

  bool trySend(const PlacementRequest &What, bool MustSend,
               core::TimePoint Now);
  KnownTarget *choose(const PlacementRequest &What, core::TimePoint Now);
  double cost(const KnownTarget &At, const PlacementRequest &What) const;

  TargetDirectory &m_Targets;
  core::DataHallName m_Home;
  PlacementPolicy m_Policy;
  DispatcherHooks m_Hooks;
  std::map<core::PoolName, std::map<QueueKey, PlacementRequest>> m_Queues;
  std::unordered_map<core::RequestId, std::pair<core::PoolName, QueueKey>>
      m_Waiting;
};

} // namespace yardrill::routing

#endif
