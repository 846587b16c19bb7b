//===-- DecisionThread.h - The thread that decides
//--------------------------===//
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

struct TargetStatus {
  core::TargetName m_Name;
  config::Endpoint m_Address;
  std::size_t m_Running = 0;
  bool m_TakesNewWork = false;
  double m_DecodeRate = 0;
};

struct PoolStatus {
  core::PoolName m_Name;
  std::size_t m_Queued = 0;
  std::size_t m_Running = 0;
  core::TierNumber m_Threshold;
  bool m_IsLeader = false;
  std::string m_LeaderPhase; ///< Empty when it does not lead.
  bool m_HasShedPermit = false;
  std::vector<TargetStatus> m_Targets;
};

/// What the operator endpoint shows of the decision thread's state.
struct DecisionStatus {
  std::size_t m_OpenRequests = 0;
  std::size_t m_Identities = 0;
  std::uint64_t m_PolicyFailures = 0;
  std::vector<PoolStatus> m_Pools;
};

/// Runs the decision core: events in by a ring, actions out by a hook.
class DecisionThread {
public:
  /// Called on the decision thread for each action, in order.
  using ActionSink = std::function<void(decision::Action)>;

  DecisionThread(std::size_t QueueCapacity, const std::string &TraceFile);
  ~DecisionThread();

  void setSink(ActionSink Sink) { m_Sink = std::move(Sink); }
  void start(const decision::InstanceStarted &StartEvent);
  void stop() { m_Thread.stop(); }

  /// \returns false when the ring is full; for events that can be refused.
  bool tryPush(decision::Event What) {
    return m_Events.tryPush(std::move(What));
  }
  /// For events that must not be lost. The ring is sized for all that open
  /// requests can cause, so it waits only behind a stalled decision thread.
  void push(const decision::Event &What);

  DecisionStatus status() const;

private:
  void handle(const decision::Event &What, core::TimePoint Now);
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
