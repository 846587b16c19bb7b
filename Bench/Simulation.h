//===-- Simulation.h - Simulated engines under a workload -----------------===//
//
// Discrete-event simulation of a workload, engine models and a scheduler. The
// routing bench compares schedulers with it.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_BENCH_SIMULATION_H
#define YARDRILL_BENCH_SIMULATION_H

#include "EngineModel.h"
#include "Workload.h"

#include <chrono>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

namespace yardrill::bench {

inline constexpr std::size_t EngineCount = 12;
inline constexpr std::size_t EngineSlots = 8;
/// Delay of messages between instances, and of an engine's confirmation that it
/// cancelled a request.
inline constexpr core::Duration MessageDelay = std::chrono::milliseconds(1);

/// Sums over one or several runs; arrays are indexed by tier, 1 to 3.
struct SimulationResult {
  double m_InTime[4] = {}; ///< Requests that met their deadline.
  double m_Arrived[4] = {};
  double m_InTimeInBurst[4] = {}; ///< Requests of the burst in time.
  double m_ArrivedInBurst[4] = {};
  /// Prefill tokens of requests cancelled while running, and of requests whose
  /// prefix only another engine had cached.
  double m_WastedTokens = 0;
  double m_PrefilledTokens = 0;
  double m_Refused = 0;
  double m_Evicted = 0;
  std::vector<double> m_FirstToken[4]; ///< Times to first token, seconds.

  void add(const SimulationResult &Other);
};

class Simulation;

/// Decides which engine executes a request, and when. It receives events of the
/// simulation and calls Simulation::dispatch(), cancel() and refuse().
class Scheduler {
public:
  explicit Scheduler(Simulation &Owner) : m_Owner(Owner) {}
  virtual ~Scheduler() = default;
  virtual void requestArrived(std::size_t Index) = 0;
  virtual void responseStarted(std::size_t) {}
  virtual void responseEnded(std::size_t, bool IsEvicted) = 0;
  virtual void start() {}
  virtual void loseInstance(std::size_t) {}

protected:
  Simulation &m_Owner;
};

/// Simulates one workload under one scheduler. One engine slows down to a third
/// of its speed halfway, load reports are up to two seconds old, and an
/// instance is lost during the burst; schedulers that don't override
/// loseInstance() ignore that.
class Simulation {
public:
  using SchedulerFactory =
      std::function<std::unique_ptr<Scheduler>(Simulation &)>;

  Simulation(std::vector<Request> Requests, unsigned Seed,
             const SchedulerFactory &Factory);

  SimulationResult run();
  /// Schedules a task at a time after the start.
  void at(core::Duration When, std::function<void()> Task);
  /// Returns the simulated time since the start.
  core::Duration now() const { return m_Now; }
  /// Returns the simulated time as a steady-clock reading.
  core::TimePoint steadyNow() const {
    return core::TimePoint(std::chrono::hours(1)) + m_Now;
  }
  void dispatch(std::size_t Index, std::size_t Engine);
  void cancel(std::size_t Index);
  void refuse(std::size_t Index);

  const std::vector<Request> &requests() const { return m_Requests; }
  std::size_t reportedLoad(std::size_t Engine) const {
    return m_ReportedLoads[Engine];
  }

private:
  struct ScheduledTask {
    core::Duration m_At;
    std::uint64_t m_Sequence;
    std::function<void()> m_Function;
    bool operator<(const ScheduledTask &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At
                                : m_Sequence > Other.m_Sequence;
    }
  };
  bool isInBurst(std::size_t Index) const {
    core::Duration End = m_Requests.back().m_At;
    return m_Requests[Index].m_At > End / 3 &&
           m_Requests[Index].m_At < End * 2 / 3;
  }
  void startWaitingRequests(std::size_t Engine);
  void finish(std::size_t Index, std::size_t Engine);
  void recordPrefill(std::size_t Engine, const StartedRequest &Started);
  void reportLoads();

  std::vector<Request> m_Requests;
  std::vector<double> m_Speeds;
  std::vector<EngineModel> m_Engines;
  std::vector<std::size_t> m_ReportedLoads;
  std::vector<int> m_EngineOf;
  std::vector<bool> m_IsCancelled;
  std::vector<bool> m_HasStarted;
  std::priority_queue<ScheduledTask> m_Tasks;
  std::uint64_t m_NextSequence = 0;
  core::Duration m_Now{};
  std::unique_ptr<Scheduler> m_Scheduler;
  SimulationResult m_Result;
};

} // namespace yardrill::bench

#endif
