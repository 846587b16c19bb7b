//===-- SimulatedCallers.h - Callers of a simulated fleet -----------------===//
//
// Sends requests of several kinds to the instances of a DispatchSimulation,
// returns once after a refusal, and records how each request ended. Used by
// DispatchFleet. First arrivals are drawn apart from returns, so that runs with
// the same seed and different decisions get the same first arrivals.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_SIMULATEDCALLERS_H
#define YARDRILL_TESTS_SUPPORT_SIMULATEDCALLERS_H

#include "CallerResult.h"

#include "LibCore/Time.h"
#include "LibRouting/Dispatcher.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yardrill::tests {

/// Period in which more requests than usual arrive.
struct LoadBurst {
  double m_Factor = 1;
  core::Duration m_From{}; ///< Since the start of the simulation.
  core::Duration m_Until{};
};

/// Client account that sends a share of the requests of a kind.
struct CallerAccount {
  core::AccountName m_Name;
  double m_Weight = 1;
  /// Periods in which it sends more; the other accounts send their usual.
  std::vector<LoadBurst> m_Bursts;
};

enum class SlotTimeSpread { Fixed, Exponential, Lognormal };

/// Requests that are alike in priority, deadlines and length.
struct RequestKind {
  std::string m_Name;
  routing::Priority m_Priority;
  /// First arrivals, over all instances.
  double m_RequestsPerSecond = 0;
  std::vector<LoadBurst> m_Bursts;
  core::Duration m_Objective = std::chrono::seconds(1);
  core::Duration m_Deadline = std::chrono::seconds(3);
  /// Mean time in a slot of a target of speed 1, including the time to the
  /// first event.
  core::Duration m_MeanSlotTime = std::chrono::milliseconds(300);
  SlotTimeSpread m_Spread = SlotTimeSpread::Exponential;
  std::uint32_t m_PromptTokens = 0;
  bool m_IsStream = true;
  /// Time until the first event of a stream, at a target of speed 1.
  core::Duration m_FirstEventTime = std::chrono::milliseconds(100);
  /// Time between events of a stream, at a target of speed 1.
  core::Duration m_EventGap = std::chrono::milliseconds(20);
  std::vector<CallerAccount> m_Accounts; ///< Empty: no client account.
  std::size_t m_ClumpSize = 1; ///< Requests that arrive at once at an instance.
};

/// Properties that all callers share.
struct CallerSettings {
  /// Standard deviation of the logarithm of the instances' shares of the
  /// requests, which are drawn once; 0: all have the same share.
  double m_InstanceSpread = 0;
  /// Whether a returned request states its first arrival; without it, an
  /// instance takes it for a new one with less time.
  bool m_IsFirstArrivalStated = false;
};

/// Sends simulated requests and records their outcomes.
class SimulatedCallers {
public:
  using SendHook = std::function<void(std::size_t Instance,
                                      const routing::PlacementRequest &)>;

  SimulatedCallers(std::vector<RequestKind> Kinds,
                   const CallerSettings &Settings, std::size_t Instances,
                   core::PoolName Pool, core::TimePoint Start,
                   std::uint64_t Seed, SendHook Send);
  /// Sets a function that returns the instance to which the balancer hands a
  /// new connection, given the one that it would usually choose.
  void setBalancer(std::function<std::size_t(std::size_t)> Balance) {
    m_Balance = std::move(Balance);
  }

  /// Sends the first arrivals of a step, and the returns that are due.
  void sendFirst(core::TimePoint Now, core::Duration Step);
  void sendReturns(core::TimePoint Now);

  /// Whether the request is one of these callers'.
  bool isOpen(core::RequestId Id) const { return m_Open.count(Id) != 0; }
  std::size_t open() const { return m_Open.size() + m_Returns.size(); }
  const RequestKind &kindOf(core::RequestId Id) const {
    return m_Kinds[m_Open.at(Id).m_Kind];
  }
  const routing::PlacementRequest &request(core::RequestId Id) const {
    return m_Open.at(Id).m_Request;
  }
  /// Returns the time that the request needs at a target of speed 1.
  core::Duration slotTimeOf(core::RequestId Id) const {
    return m_Open.at(Id).m_SlotTime;
  }

  /// Records that the instance has read the request.
  void recordRead(core::RequestId Id);
  /// Records that the connection was refused, or closed with the request
  /// unread. The caller tries another instance at once.
  void recordUnread(core::RequestId Id, core::TimePoint Now);
  /// Records that a target runs the request.
  void recordSent(core::RequestId Id);
  /// Returns the requests that no target runs although their deadline has
  /// passed, with their instances.
  std::vector<std::pair<core::RequestId, std::size_t>>
  overdue(core::TimePoint Now) const;
  void recordFirstEvent(core::RequestId Id, core::TimePoint Now);
  void recordEnd(core::RequestId Id, core::TimePoint Now);
  /// Schedules a return, or ends the request.
  /// \param RetryAfter what the refusal states; none: 0.15 to 0.5 s.
  void recordRefusal(core::RequestId Id,
                     std::optional<core::Duration> RetryAfter,
                     core::TimePoint Now);
  /// Ends all requests that an instance holds, because it exits.
  void recordExit(std::size_t Instance);
  /// Ends the requests that have not ended by the end of the simulation.
  CallerResult finish();

private:
  /// A request, from its first arrival at the first instance or its return to
  /// another, until its end there.
  struct OpenRequest {
    std::size_t m_Kind = 0;
    std::size_t m_Instance = 0;
    core::TimePoint m_FirstArrivalAt{};
    core::TimePoint m_LastArrivalAt{};
    core::TimePoint m_Deadline{};
    core::Duration m_SlotTime{};
    bool m_IsReturn = false;
    bool m_IsRead = false;  ///< At this attempt.
    bool m_WasRead = false; ///< At an earlier attempt.
    bool m_IsSent = false;
    std::optional<core::TimePoint> m_FirstEventAt;
    routing::PlacementRequest m_Request;
  };

  std::vector<double> accountWeights(const RequestKind &Kind,
                                     core::TimePoint Now) const;
  /// Schedules a return to another instance.
  void scheduleReturn(OpenRequest Returning, core::TimePoint At);
  /// Records the outcome of the current attempt if it is the first that was
  /// read.
  void recordFirstRead(const OpenRequest &Ended, bool IsServed,
                       core::TimePoint At);
  core::Duration drawSlotTime(const RequestKind &Kind);
  void sendClump(std::size_t Kind, core::TimePoint Now);
  void send(OpenRequest Sent, core::TimePoint Now);
  /// Applies a change to the outcomes of the request's kind and account.
  void count(const OpenRequest &Request,
             const std::function<void(CallerOutcomes &)> &Change);

  std::vector<RequestKind> m_Kinds;
  CallerSettings m_Settings;
  core::PoolName m_Pool;
  core::TimePoint m_Start;
  SendHook m_Send;
  std::function<std::size_t(std::size_t)> m_Balance; ///< May be empty.
  std::mt19937_64 m_ArrivalRandom;
  std::mt19937_64 m_ReturnRandom;
  std::discrete_distribution<std::size_t> m_Instances;
  std::uint64_t m_NextRequest;
  std::unordered_map<core::RequestId, OpenRequest> m_Open;
  std::multimap<core::TimePoint, OpenRequest> m_Returns;
  CallerResult m_Result;
};

} // namespace yardrill::tests

#endif
