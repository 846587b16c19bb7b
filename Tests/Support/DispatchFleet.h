//===-- DispatchFleet.h - Instances and targets of a DispatchSimulation ---===//
//
// Runs the Dispatcher, TargetDirectory and FleetSubset of each instance, and
// models the targets, the store and the messages between instances.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_DISPATCHFLEET_H
#define YARDRILL_TESTS_SUPPORT_DISPATCHFLEET_H

#include "DispatchSimulation.h"
#include "SimulatedIntake.h"
#include "SimulatedNetwork.h"
#include "SimulatedTargets.h"

#include "LibRouting/SlotBorrowing.h"
#include "LibRouting/SlotExchange.h"
#include "LibRouting/SlotLending.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>

namespace yardrill::tests {

/// What an instance reports to its group peers.
struct SimulatedReport {
  std::unordered_map<std::uint32_t, routing::TargetLoad> m_Loads;
  routing::ReportedDemand m_Demand;
  bool m_HasWaitingRequests = false;
};

/// The last report of a group peer.
struct ReceivedReport {
  core::TimePoint m_SentAt{};
  core::TimePoint m_ReceivedAt{};
  std::shared_ptr<const SimulatedReport> m_Report;
};

struct SimulatedInstance {
  std::unique_ptr<routing::TargetDirectory> m_Targets;
  std::unique_ptr<routing::Dispatcher> m_Dispatcher;
  std::unique_ptr<routing::SlotExchange> m_Slots;
  std::unique_ptr<routing::SlotLending> m_Lending;
  std::unique_ptr<routing::SlotBorrowing> m_Borrowing;
  std::unique_ptr<SimulatedIntake> m_Intake; ///< Null: any rate is borne.
  routing::FleetSubset m_Subset;
  std::size_t m_Process = 0;
  bool m_IsRestarted = false; ///< See DispatchScenario::m_RestartedShare.
  std::map<core::DataHallName, bool> m_DrainedHalls; ///< Known to the store.
  core::TimePoint m_ReportsAt{}; ///< Time of the next periodic report.
  bool m_IsReportDue = false;    ///< Whether to report in this step.
  std::map<std::size_t, ReceivedReport> m_PeerReports;
  bool m_AreReportsNew = false; ///< Whether some report is not yet applied.
};

class DispatchFleet {
public:
  explicit DispatchFleet(const DispatchScenario &Scenario);

  DispatchResult run();

private:
  struct Completion {
    core::TimePoint m_At;
    std::size_t m_Instance = 0;
    std::size_t m_Process = 0; ///< Number of the instance's process.
    std::size_t m_Target = 0;
    core::Duration m_ServiceTime{};
    core::RequestId m_Request;

    bool operator>(const Completion &Other) const { return Other.m_At < m_At; }
  };
  struct StoreChange {
    core::TimePoint m_At;
    std::size_t m_Instance = 0;
    core::DataHallName m_DataHall;
    bool m_IsDrained = false;
  };
  struct BackpressureMessage {
    core::TimePoint m_At;
    std::size_t m_Instance = 0;
    routing::BackpressureReport m_Backpressure;
  };

  static config::Endpoint addressOf(std::size_t Instance) {
    return {"10.1." + std::to_string(Instance / 250) + "." +
                std::to_string(Instance % 250 + 1),
            7600};
  }
  core::DataHallName dataHallOf(std::size_t Index) const {
    return core::DataHallName("hall-" +
                              std::to_string(Index % m_Scenario.m_DataHalls));
  }
  static core::TargetName nameOf(std::size_t Target) {
    return core::TargetName("t-" + std::to_string(Target));
  }
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  core::Duration drawDelay(core::Duration Max) {
    return std::chrono::duration_cast<core::Duration>(Max * draw());
  }
  bool isLimited(std::size_t Target) const {
    return Target < m_Scenario.m_LimitedTargets &&
           m_Now < m_Start + m_Scenario.m_LimitUntil;
  }

  // Set-up and faults.
  void addTargets();
  void addInstances();
  void startInstance(std::size_t Index, bool IsFirstStart);
  routing::Target announcementOf(std::size_t Target) const;
  void scheduleDrains();
  void scheduleFaults();
  /// Returns a random share of the indexes below \p Count.
  std::vector<std::size_t> drawShare(double Share, std::size_t Count);
  void setLeaving(std::size_t Target, bool IsLeaving);
  void restart(std::size_t Index);
  void applyStoreChanges();

  // Requests.
  /// Returns the instance that gets a new connection, which the balancer would
  /// usually hand to \p Usual.
  std::size_t balance(std::size_t Usual);
  /// Hands a request to an instance, which reads it before it is placed.
  void arrive(std::size_t Index, const routing::PlacementRequest &Request);
  void place(std::size_t Index, const routing::PlacementRequest &Request);
  void sendRequest();
  void send(std::size_t Index, core::RequestId Id,
            const routing::Target &Chosen);
  void sendForCaller(std::size_t Index, core::RequestId Id, std::size_t Target);
  /// \param Time since the request was sent.
  void recordFirstEvent(const Completion &Sent, core::Duration Time);
  void refuse(std::size_t Index, core::RequestId Id);
  void withdrawOverdue();
  void completeDue();
  void complete(const Completion &Ended);
  void dispatchWaiting(SimulatedInstance &Instance);
  void handleFreedSlot(SimulatedInstance &Instance,
                       const routing::TargetIncarnation &Target);
  void recordFreeSlots();

  // Messages between instances.
  routing::SlotExchangeHooks slotHooks(std::size_t Index);
  routing::SlotBorrowingHooks borrowingHooks(std::size_t Index);
  void answerQuestion(std::size_t Lender, std::size_t Borrower,
                      const routing::SlotQuestion &Question);
  void returnSlot(std::size_t From, const config::Endpoint &To,
                  routing::SlotLeaseId Lease);
  void reportBackpressure(std::size_t From,
                          const routing::BackpressureReport &Update);
  void deliverBackpressure();
  void repeatBackpressure();
  /// Gives an instance the present load of its group, without messages.
  void exchangeLoads(SimulatedInstance &Instance);
  void sendReport(std::size_t From);
  /// Reports after each dispatch, after an end while peers wait, and
  /// periodically, as the gateway does.
  void sendDueReports();
  void applyReports(SimulatedInstance &To);
  bool hasWaitingPeers(const SimulatedInstance &Instance) const;

  void step();
  void recordLimitEnd();

  DispatchScenario m_Scenario;
  std::mt19937_64 m_Random;
  std::mt19937_64 m_FaultRandom;
  std::mt19937_64 m_SlotRandom;
  std::mt19937_64 m_SkewRandom;
  core::TimePoint m_Start{std::chrono::hours(1)};
  core::TimePoint m_Now = m_Start;
  core::TimePoint m_LoadsAt = m_Now;
  core::TimePoint m_BackpressureAt = m_Now;
  core::TimePoint m_RefusedAt{}; ///< Time of the last refusal.
  routing::FleetSubset::Fleet m_Fleet;
  std::map<config::Endpoint, std::size_t> m_Indexes;
  std::vector<SimulatedInstance> m_Instances;
  SimulatedTargets m_Targets;
  std::map<core::TargetName, std::size_t> m_TargetIndexes;
  std::priority_queue<Completion, std::vector<Completion>,
                      std::greater<Completion>>
      m_Completions;
  std::vector<StoreChange> m_StoreChanges;
  std::vector<BackpressureMessage> m_BackpressureMessages;
  std::uint64_t m_NextRequest = 1;
  SimulatedNetwork m_Network;
  std::unique_ptr<SimulatedCallers> m_Callers; ///< Null without kinds.
  DispatchResult m_Result;
};

} // namespace yardrill::tests

#endif
