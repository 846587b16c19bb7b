// Store changes, faults, and messages between the instances of a DispatchFleet.

#include "DispatchFleet.h"

#include <algorithm>
#include <numeric>

namespace yardrill::tests {

using core::TimePoint;
using std::chrono::milliseconds;

/// Maximum time until a report of backpressure arrives.
static constexpr milliseconds MaxBackpressureDelay{30};
/// Time after which the last report of a silent peer no longer counts.
static constexpr milliseconds PeerTimeout{700};

//===----------------------------------------------------------------------===//
// Store changes and faults
//===----------------------------------------------------------------------===//

void DispatchFleet::scheduleDrains() {
  for (const DrainPeriod &Each : m_Scenario.m_Drains)
    for (std::size_t I = 0; I < m_Instances.size(); ++I) {
      auto Schedule = [&](core::Duration At, bool IsDrained) {
        core::Duration Delay = m_Instances[I].m_IsRestarted
                                   ? core::Duration::zero()
                                   : drawDelay(m_Scenario.m_MaxUpdateDelay);
        m_StoreChanges.push_back(
            {m_Start + At + Delay, I, dataHallOf(Each.m_DataHall), IsDrained});
      };
      Schedule(Each.m_From, true);
      Schedule(Each.m_Until, false);
    }
}

void DispatchFleet::applyStoreChanges() {
  std::vector<StoreChange> Pending;
  for (const StoreChange &Each : m_StoreChanges) {
    if (m_Now < Each.m_At) {
      Pending.push_back(Each);
      continue;
    }
    SimulatedInstance &To = m_Instances[Each.m_Instance];
    To.m_DrainedHalls[Each.m_DataHall] = Each.m_IsDrained;
    if (To.m_IsRestarted && !Each.m_IsDrained)
      startInstance(Each.m_Instance, false);
    else
      To.m_Targets->setDrained(Each.m_DataHall, Each.m_IsDrained, m_Now);
  }
  m_StoreChanges = std::move(Pending);
}

std::vector<std::size_t> DispatchFleet::drawShare(double Share,
                                                  std::size_t Count) {
  std::vector<std::size_t> Out(Count);
  std::iota(Out.begin(), Out.end(), 0);
  std::shuffle(Out.begin(), Out.end(), m_FaultRandom);
  Out.resize(static_cast<std::size_t>(Share * static_cast<double>(Count)));
  return Out;
}

void DispatchFleet::scheduleFaults() {
  for (const FaultPeriod &Each : m_Scenario.m_SilentInstances)
    for (std::size_t I : drawShare(Each.m_Share, m_Instances.size())) {
      m_Network.callAt(m_Start + Each.m_From,
                       [this, I] { m_Network.setSilent(I, true); });
      m_Network.callAt(m_Start + Each.m_Until,
                       [this, I] { m_Network.setSilent(I, false); });
    }
  for (const FaultPeriod &Each : m_Scenario.m_LeavingTargets)
    for (std::size_t I : drawShare(Each.m_Share, m_Targets.size())) {
      m_Network.callAt(m_Start + Each.m_From,
                       [this, I] { setLeaving(I, true); });
      m_Network.callAt(m_Start + Each.m_Until,
                       [this, I] { setLeaving(I, false); });
    }
  if (m_Scenario.m_RestartAt)
    for (std::size_t I :
         drawShare(m_Scenario.m_RestartShare, m_Instances.size()))
      m_Network.callAt(m_Start + *m_Scenario.m_RestartAt,
                       [this, I] { restart(I); });
}

void DispatchFleet::setLeaving(std::size_t Target, bool IsLeaving) {
  m_Targets[Target].m_IsLeaving = IsLeaving;
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    std::uniform_int_distribution<core::Duration::rep> Delay(
        0, m_Scenario.m_MaxUpdateDelay.count());
    m_Network.callAt(
        m_Now + core::Duration(Delay(m_FaultRandom)), [this, I, Target] {
          m_Instances[I].m_Targets->announce(announcementOf(Target));
        });
  }
}

void DispatchFleet::restart(std::size_t Index) {
  if (m_Callers)
    m_Callers->recordExit(Index);
  startInstance(Index, false);
}

//===----------------------------------------------------------------------===//
// Backpressure
//===----------------------------------------------------------------------===//

void DispatchFleet::reportBackpressure(
    std::size_t From, const routing::BackpressureReport &Update) {
  for (const config::Endpoint &To :
       m_Instances[From].m_Subset.subsetInstances(m_Targets.size()))
    if (m_Indexes.at(To) != From)
      m_BackpressureMessages.push_back(
          {m_Now + drawDelay(MaxBackpressureDelay), m_Indexes.at(To), Update});
}

void DispatchFleet::deliverBackpressure() {
  std::vector<BackpressureMessage> Pending;
  for (const BackpressureMessage &Each : m_BackpressureMessages)
    if (m_Now < Each.m_At)
      Pending.push_back(Each);
    else
      m_Instances[Each.m_Instance].m_Targets->throttles().update(
          Each.m_Backpressure, m_Now);
  m_BackpressureMessages = std::move(Pending);
}

void DispatchFleet::repeatBackpressure() {
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    routing::TargetThrottleTable &Throttles =
        m_Instances[I].m_Targets->throttles();
    Throttles.removeStale(m_Now);
    for (const auto &Each : Throttles.dueReports(m_Now))
      reportBackpressure(I, Each);
  }
}

//===----------------------------------------------------------------------===//
// Load and demand
//===----------------------------------------------------------------------===//

void DispatchFleet::exchangeLoads(SimulatedInstance &Instance) {
  std::unordered_map<std::uint32_t, routing::TargetLoad> Sums;
  for (const config::Endpoint &Peer : Instance.m_Subset.groupMembers())
    for (const routing::KnownTarget *Busy :
         m_Instances[m_Indexes.at(Peer)].m_Targets->busyTargets())
      Sums[Busy->m_Hash].m_Running += Busy->m_LocalLoad.m_Running;
  Instance.m_Targets->setRemoteLoad(Sums);
}

void DispatchFleet::sendReport(std::size_t From) {
  SimulatedInstance &Own = m_Instances[From];
  SimulatedReport Report;
  for (const routing::KnownTarget *Busy : Own.m_Targets->busyTargets())
    Report.m_Loads[Busy->m_Hash] = Busy->m_LocalLoad;
  for (const auto &[Pool, Demand] : Own.m_Dispatcher->scarceDemand(m_Now))
    Report.m_Demand[routing::hashOf(Pool)] = Demand;
  Report.m_HasWaitingRequests = Own.m_Dispatcher->waiting() > 0;
  auto Shared = std::make_shared<const SimulatedReport>(std::move(Report));
  TimePoint SentAt = m_Now;
  for (const config::Endpoint &Peer : Own.m_Subset.groupMembers()) {
    std::size_t To = m_Indexes.at(Peer);
    m_Network.post(From, To, m_Now, [this, From, To, Shared, SentAt] {
      ReceivedReport &Known = m_Instances[To].m_PeerReports[From];
      // A later report may arrive first.
      if (Known.m_SentAt > SentAt)
        return;
      Known = {SentAt, m_Now, Shared};
      m_Instances[To].m_AreReportsNew = true;
    });
  }
}

void DispatchFleet::sendDueReports() {
  if (!m_Scenario.m_ReportPeriod)
    return;
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    SimulatedInstance &Each = m_Instances[I];
    if (Each.m_ReportsAt <= m_Now) {
      Each.m_ReportsAt += *m_Scenario.m_ReportPeriod;
      Each.m_IsReportDue = true;
      // Silent peers are noticed without a new report.
      Each.m_AreReportsNew = true;
    }
    if (!Each.m_IsReportDue)
      continue;
    Each.m_IsReportDue = false;
    sendReport(I);
  }
}

void DispatchFleet::applyReports(SimulatedInstance &To) {
  if (!To.m_AreReportsNew)
    return;
  To.m_AreReportsNew = false;
  std::unordered_map<std::uint32_t, routing::TargetLoad> Sums;
  std::map<config::Endpoint, routing::ReportedDemand> Demands;
  for (auto Each = To.m_PeerReports.begin(); Each != To.m_PeerReports.end();) {
    const auto &[From, Known] = *Each;
    if (m_Now - Known.m_ReceivedAt > PeerTimeout) {
      Each = To.m_PeerReports.erase(Each);
      continue;
    }
    for (const auto &[Target, Load] : Known.m_Report->m_Loads) {
      routing::TargetLoad &Sum = Sums[Target];
      Sum.m_Running += Load.m_Running;
      Sum.m_PendingPromptTokens += Load.m_PendingPromptTokens;
    }
    To.m_Slots->handleReport(addressOf(From), Known.m_ReceivedAt);
    if (!Known.m_Report->m_Demand.empty())
      Demands[addressOf(From)] = Known.m_Report->m_Demand;
    ++Each;
  }
  To.m_Targets->setRemoteLoad(Sums);
  To.m_Dispatcher->demand().setPeers(std::move(Demands));
}

routing::SlotExchangeHooks DispatchFleet::slotHooks(std::size_t Index) {
  routing::SlotExchangeHooks Out;
  Out.m_Grant = [this, Index](const config::Endpoint &To,
                              const routing::SlotGrant &Granted) {
    std::size_t Receiver = m_Indexes.at(To);
    m_Network.post(Index, Receiver, m_Now, [this, Index, Receiver, Granted] {
      m_Instances[Receiver].m_Slots->handleGrant(addressOf(Index), Granted,
                                                 m_Now);
    });
  };
  Out.m_Return = [this, Index](const config::Endpoint &To,
                               routing::SlotLeaseId Lease) {
    returnSlot(Index, To, Lease);
  };
  Out.m_Random = [this] {
    return std::uniform_real_distribution<double>(0, 1)(m_SlotRandom);
  };
  return Out;
}

void DispatchFleet::returnSlot(std::size_t From, const config::Endpoint &To,
                               routing::SlotLeaseId Lease) {
  std::size_t Giver = m_Indexes.at(To);
  m_Network.post(From, Giver, m_Now, [this, From, Giver, Lease] {
    m_Instances[Giver].m_Slots->handleReturn(addressOf(From), Lease, m_Now);
  });
}

routing::SlotBorrowingHooks DispatchFleet::borrowingHooks(std::size_t Index) {
  SimulatedInstance &Own = m_Instances[Index];
  routing::SlotBorrowingHooks Out;
  Out.m_InstancesOf = [&Own](const core::PoolName &Pool) {
    return Own.m_Targets->instancesOutsideSubset(Pool);
  };
  Out.m_Ask = [this, Index](const config::Endpoint &To,
                            const routing::SlotQuestion &Question) {
    ++m_Result.m_SlotQuestions;
    std::size_t Lender = m_Indexes.at(To);
    m_Network.post(Index, Lender, m_Now, [this, Lender, Index, Question] {
      answerQuestion(Lender, Index, Question);
    });
  };
  Out.m_Use = [this, &Own](const routing::TargetIncarnation &Target,
                           core::TimePoint Now) {
    auto User = Own.m_Dispatcher->sendWaitingToLent(Target, Now);
    m_Result.m_BorrowedSlots += User ? 1 : 0;
    return User;
  };
  Out.m_Return = [this, Index](const config::Endpoint &To,
                               routing::SlotLeaseId Lease) {
    returnSlot(Index, To, Lease);
  };
  Out.m_Draw = [this] {
    return std::uniform_real_distribution<double>(0, 1)(m_SlotRandom);
  };
  return Out;
}

void DispatchFleet::answerQuestion(std::size_t Lender, std::size_t Borrower,
                                   const routing::SlotQuestion &Question) {
  SimulatedInstance &Own = m_Instances[Lender];
  applyReports(Own);
  auto Lease = Own.m_Lending->grant(
      Question, {addressOf(Borrower), dataHallOf(Borrower)}, m_Now);
  Own.m_IsReportDue = Own.m_IsReportDue || Lease.has_value();
  m_Network.post(
      Lender, Borrower, m_Now, [this, Lender, Borrower, Question, Lease] {
        routing::SlotBorrowing &Receiver = *m_Instances[Borrower].m_Borrowing;
        if (Lease)
          Receiver.handleGrant(addressOf(Lender), Question.m_Id, Lease->m_Id,
                               Lease->m_Target, m_Now);
        else
          Receiver.handleNoSlot(addressOf(Lender), Question.m_Id);
      });
}

bool DispatchFleet::hasWaitingPeers(const SimulatedInstance &Instance) const {
  return std::any_of(Instance.m_PeerReports.begin(),
                     Instance.m_PeerReports.end(), [](const auto &Each) {
                       return Each.second.m_Report->m_HasWaitingRequests;
                     });
}

} // namespace yardrill::tests
