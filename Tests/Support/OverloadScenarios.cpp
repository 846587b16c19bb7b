#include "OverloadScenarios.h"

#include "LibRouting/FleetSubset.h"

#include <algorithm>
#include <cmath>

namespace yardrill::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char TopKind[] = "top";
const char MiddleKind[] = "middle";
const char LowestKind[] = "lowest";

/// Size of the fleet for which the rates and the targets are stated.
static constexpr double ReferenceInstances = 131;
static constexpr double ReferenceTargets = 90;
/// Periods of the gateway's load reports.
static constexpr milliseconds SingleGroupPeriod{40};
static constexpr milliseconds SeveralGroupsPeriod{100};

static RequestKind createKind(const char *Name, std::uint32_t Tier, double Rate,
                              milliseconds SlotTime, milliseconds Objective,
                              seconds Deadline) {
  RequestKind Out;
  Out.m_Name = Name;
  Out.m_Priority = {core::TierNumber(Tier), core::TierNumber(1)};
  Out.m_RequestsPerSecond = Rate;
  Out.m_MeanSlotTime = SlotTime;
  Out.m_Objective = Objective;
  Out.m_Deadline = Deadline;
  Out.m_Bursts = {{2.1, seconds(8), seconds(13)}};
  return Out;
}

DispatchScenario longShortage(std::size_t Instances, double LoadFactor) {
  double Size = static_cast<double>(Instances) / ReferenceInstances;
  double Rate = Size * LoadFactor;
  DispatchScenario Out;
  Out.m_Instances = Instances;
  Out.m_Targets = static_cast<std::size_t>(
      std::max(1.0, std::round(ReferenceTargets * Size)));
  Out.m_Slots = 4;
  Out.m_Speeds = {0.6, 1.7, 1.7};
  Out.m_Kinds = {createKind(TopKind, 1, 196 * Rate, milliseconds(550),
                            milliseconds(800), seconds(5)),
                 createKind(MiddleKind, 2, 216 * Rate, milliseconds(280),
                            milliseconds(600), seconds(3)),
                 createKind(LowestKind, 3, 115 * Rate, milliseconds(1800),
                            milliseconds(500), seconds(15))};
  bool IsOneGroup =
      Instances <= routing::FleetSubset::groupSizeFor(Instances, Out.m_Targets);
  Out.m_ReportPeriod = IsOneGroup ? SingleGroupPeriod : SeveralGroupsPeriod;
  return Out;
}

/// Size of the fleet for which skewedConnections() states rates and targets.
static constexpr double SkewReferenceInstances = 88;
static constexpr double SkewReferenceTargets = 140;
static constexpr std::size_t SkewDataHalls = 4;
/// Leaves streams of the shortest objective no time to wait for a slot.
static constexpr milliseconds SkewFirstEventTime{250};
static constexpr IntakeCapacity SmallIntake{400, 130};
static constexpr IntakeCapacity LargeIntake{1000, 2600};
static constexpr std::size_t InstancesPerLargeOne = 11;

DispatchScenario skewedConnections(std::size_t Instances, SkewScope Scope,
                                   InstanceSize Hot) {
  double Size = static_cast<double>(Instances) / SkewReferenceInstances;
  DispatchScenario Out;
  Out.m_Instances = Instances;
  Out.m_DataHalls = SkewDataHalls;
  Out.m_Targets = static_cast<std::size_t>(
      std::max(1.0, std::round(SkewReferenceTargets * Size)));
  Out.m_Slots = 4;
  Out.m_Speeds = {0.8, 0.8, 1.4};
  Out.m_Kinds = {createKind(TopKind, 1, 167 * Size, milliseconds(700),
                            milliseconds(800), seconds(12)),
                 createKind(MiddleKind, 2, 129 * Size, milliseconds(400),
                            milliseconds(600), seconds(6)),
                 createKind(LowestKind, 3, 135 * Size, milliseconds(900),
                            milliseconds(400), seconds(15))};
  for (RequestKind &Each : Out.m_Kinds) {
    Each.m_Bursts.clear();
    Each.m_FirstEventTime = SkewFirstEventTime;
  }
  bool IsOneGroup =
      Instances <= routing::FleetSubset::groupSizeFor(Instances, Out.m_Targets);
  Out.m_ReportPeriod = IsOneGroup ? SingleGroupPeriod : SeveralGroupsPeriod;
  Out.m_Overload = routing::OverloadSettings();
  Out.m_Intakes.assign(InstancesPerLargeOne, SmallIntake);
  Out.m_Intakes.front() = LargeIntake;
  Out.m_Length = seconds(18);
  ConnectionSkew Skew;
  Skew.m_From = seconds(5);
  Skew.m_Until = seconds(15);
  // Instance 0 is large; the next of its data hall is small.
  Skew.m_Instance = Hot == InstanceSize::Large ? 0 : SkewDataHalls;
  if (Scope == SkewScope::DataHall)
    Skew.m_DataHall = 0;
  Out.m_Skew = Skew;
  return Out;
}

void addAccounts(DispatchScenario &Scenario, std::size_t Count) {
  for (RequestKind &Kind : Scenario.m_Kinds) {
    Kind.m_Accounts.clear();
    for (std::size_t I = 0; I < Count; ++I) {
      CallerAccount Added;
      Added.m_Name = core::AccountName(Kind.m_Name + "-" + std::to_string(I));
      Kind.m_Accounts.push_back(Added);
    }
  }
}

void addFlood(DispatchScenario &Scenario, double Factor, core::Duration From,
              core::Duration Until) {
  for (RequestKind &Kind : Scenario.m_Kinds)
    Kind.m_Accounts.at(0).m_Bursts.push_back({Factor, From, Until});
}

} // namespace yardrill::tests
