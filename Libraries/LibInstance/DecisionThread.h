//===-- DecisionThread.h - Thread that runs the decision core -------------===//
#ifndef YARDRILL_LIBINSTANCE_DECISIONTHREAD_H
#define YARDRILL_LIBINSTANCE_DECISIONTHREAD_H

#include "LibCore/EventLoopThread.h"
#include "LibCore/MPSCQueue.h"
#include "LibCore/TimerService.h"
#include "LibDecision/DecisionCore.h"
#include "LibDecision/Trace.h"

#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace yardrill::instance {

/// State of a target as this instance sees it.
struct TargetStatus {
  core::TargetName m_Name;
  config::Endpoint m_Address;
  std::size_t m_Running = 0;
  bool m_TakesNewWork = false;
  double m_DecodeRate = 0; ///< Tokens per second.
};

/// State of a pool, with the requests of this instance only.
struct PoolStatus {
  core::PoolName m_Name;
  std::size_t m_Queued = 0;
  std::size_t m_Running = 0;
  core::TierNumber m_Threshold;
  bool m_IsLeader = false;
  std::string m_LeaderPhase; ///< Empty unless this instance leads the pool.
  bool m_HasShedPermit = false;
  std::vector<TargetStatus> m_Targets;
};

/// State of the decision core as reported by the operator endpoint.
struct DecisionStatus {
  std::size_t m_OpenRequests = 0;
  std::size_t m_Identities = 0;
  std::uint64_t m_PolicyFailures = 0;
  std::vector<PoolStatus> m_Pools;
};

/// Event loop thread that runs the decision core. Other threads send events to
/// it through a queue; the sink gets the actions that the core returns.
class DecisionThread {
public:
  /// Runs on the decision thread for each action, in order.
  using ActionSink = std::function<void(decision::Action)>;

  /// \param TraceFile file to which events and actions are written; none if
  /// empty.
  /// \throws core::Error of kind Settings when the file can't be written.
  DecisionThread(std::size_t QueueCapacity, const std::string &TraceFile);
  ~DecisionThread();

  void setSink(ActionSink Sink) { m_Sink = std::move(Sink); }
  void start(const decision::InstanceStarted &StartEvent);
  void stop() { m_Thread.stop(); }

  /// Queues an event that may be rejected. \returns false when the queue is
  /// full.
  bool tryPush(decision::Event NewEvent) {
    return m_Events.tryPush(std::move(NewEvent));
  }
  /// Queues an event that must not be lost. The queue has room for all events
  /// of open requests, so this blocks only behind a stalled decision thread.
  void push(const decision::Event &NewEvent);

  /// Returns the status as last published. Thread-safe.
  DecisionStatus status() const;

private:
  void handle(const decision::Event &NewEvent, core::TimePoint Now);
  void publishStatus(core::TimePoint Now);

  core::EventLoopThread m_Thread;
  core::MPSCQueue<decision::Event> m_Events;
  core::SteadyTimerService m_Timers;
  decision::DecisionCore m_Core;
  ActionSink m_Sink;
  std::ofstream m_TraceStream;
  std::optional<decision::TraceWriter> m_Trace;
  mutable std::mutex m_StatusMutex;
  DecisionStatus m_Status;
};

} // namespace yardrill::instance

#endif
