//===-- Dispatcher.h - When and where each request is sent ----------------===//
//
// Pure: time and randomness are handed in, and what it decides comes out
// through hooks.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_DISPATCHER_H
#define YARDRILL_LIBROUTING_DISPATCHER_H

#include "LibRouting/RoutingTable.h"
#include "LibRouting/TargetDirectory.h"
#include "LibRouting/VersionGate.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace yardrill::routing {

/// One request that wants a target.
struct PlacementRequest {
  core::RequestId m_Request;
  core::PoolName m_Pool;
  std::uint32_t m_Route = 0; ///< Route::m_Hash.
  Priority m_Priority;
  bool m_IsInference = false;
  std::uint32_t m_PromptTokens = 0;
  double m_ExpectedEvents = 0; ///< Of a stream; 0: unknown, or no stream.
  core::TimePoint m_ArrivedAt{};
  /// A first byte after that is late. A stream that can't begin by then any
  /// more is refused; a short request is still served.
  core::TimePoint m_FirstByteDue{};
  /// A stream without an event by then is given up by its caller.
  core::TimePoint m_FirstEventDeadline{};
  /// The answer must be complete by then.
  core::TimePoint m_EndsAt{};
  std::set<TargetIncarnation> m_TriedTargets; ///< Not again.
};

struct DispatcherHooks {
  /// Send the request there now.
  std::function<void(core::RequestId, const Target &)> m_Send;
  /// No target of the pool can take it in time; nothing was sent.
  std::function<void(core::RequestId)> m_Refuse;
  /// Which versions of the pool's targets take requests; null: all alike. May
  /// be left unset.
  std::function<const VersionGate *(const core::PoolName &)> m_GateOf;
};

enum class PlacementPolicy {
  LeastPredictedWait, ///< By work under way at all instances and learned speed.
  LeastOutstanding,   ///< The baseline: own requests alone, no queue.
};

class Dispatcher {
public:
  Dispatcher(TargetDirectory &Targets, core::DataHallName LocalDataHall,
             PlacementPolicy Policy, DispatcherHooks Hooks)
      : m_Targets(Targets), m_LocalDataHall(std::move(LocalDataHall)),
        m_Policy(Policy), m_Hooks(std::move(Hooks)) {}

  /// Sends, queues or refuses. It waits here for a free place rather than at a
  /// target, since targets serve in the order of arrival.
  void place(const PlacementRequest &What, core::TimePoint Now);
  /// The request waits no longer. \returns false if it did not wait.
  bool withdraw(core::RequestId Request);
  /// Sends what has a place now and what has waited long enough.
  void dispatchWaiting(core::TimePoint Now);
  std::size_t waiting() const { return m_Waiting.size(); }
  std::size_t waitingFor(const core::PoolName &Pool) const;

private:
  /// Who is served first when places are short. The lowest of several ranks
  /// waits for all others, also for those that are late already.
  enum class Urgency { InTime, Late, LowestInTime, LowestLate };

  Urgency urgencyOf(const PlacementRequest &What, core::TimePoint Now) const;
  bool isLowestPriority(const PlacementRequest &What) const;
  /// When it no longer waits for a free place: a stream is then refused, and a
  /// short request sent without one.
  core::TimePoint queueDeadline(const PlacementRequest &What) const;
  bool precedes(const PlacementRequest &A, const PlacementRequest &B,
                core::TimePoint Now) const;
  bool trySend(const PlacementRequest &What, core::TimePoint Now);
  /// From when targets that all take nothing now take this request, after those
  /// that go first; none: one is open, or none will be.
  std::optional<core::TimePoint> nextAvailability(const PlacementRequest &What,
                                                  core::TimePoint Now) const;
  /// Targets that may be tried: those that failed just now only where there is
  /// no other.
  std::vector<KnownTarget *> candidates(const PlacementRequest &What,
                                        core::TimePoint Now) const;
  /// Targets under trial that this request is to try now; mostly none.
  std::vector<KnownTarget *> canaryCandidates(const VersionGate &Gate,
                                              const PlacementRequest &What,
                                              core::TimePoint Now) const;
  const VersionGate *gateOf(const core::PoolName &Pool) const;
  bool hasFreeSlot(const KnownTarget &Known,
                   const PlacementRequest &What) const;
  KnownTarget *choose(const PlacementRequest &What, bool MustSend,
                      core::TimePoint Now, bool &HasCandidate);
  double cost(const KnownTarget &Known, const PlacementRequest &What,
              core::TimePoint Now) const;
  /// Expected time that the target takes to read a prompt, alone.
  static double prefillTimeMs(const KnownTarget &Known, std::uint32_t Tokens);
  /// Places that such a request may take: fewer at a slow target, where its
  /// prompt is long.
  static std::size_t slotsFor(const KnownTarget &Known,
                              const PlacementRequest &What);
  /// Whether the lowest rank may take one more place.
  bool leavesReservedSlots(const PlacementRequest &What,
                           core::TimePoint Now) const;
  void recordPriority(const PlacementRequest &What, core::TimePoint Now);

  TargetDirectory &m_Targets;
  core::DataHallName m_LocalDataHall;
  PlacementPolicy m_Policy;
  DispatcherHooks m_Hooks;
  std::unordered_map<core::RequestId, PlacementRequest> m_Waiting;
  /// Ranks of each pool's requests, and when one was last seen.
  std::map<core::PoolName, std::map<Priority, core::TimePoint>>
      m_PriorityLastSeen;
};

} // namespace yardrill::routing

#endif
