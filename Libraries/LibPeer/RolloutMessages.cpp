#include "LibPeer/RolloutMessages.h"

namespace yardrill::peer {

/// A cell takes some 55 bytes with the usual six bins; the most, 140.
static constexpr std::size_t MaxCellsInPart = 9;

static RolloutCell toCell(const rollout::ResponseCountsKey &Key,
                          const rollout::ResponseCounts &Counts) {
  RolloutCell Out;
  Out.m_IsNew = Key.m_Side == rollout::Side::New;
  Out.m_Target = Key.m_Target;
  Out.m_Route = Key.m_Route;
  Out.m_Failures = Counts.m_Failures;
  for (std::size_t I = 0; I < rollout::TimeBinCount; ++I)
    if (Counts.m_Times[I] > 0)
      Out.m_Times.push_back({static_cast<std::uint8_t>(I), Counts.m_Times[I]});
  return Out;
}

std::vector<RolloutReport> toMessages(const rollout::Report &Told,
                                      const core::PoolName &Pool) {
  RolloutReport Empty;
  Empty.m_Pool = Pool;
  Empty.m_Order = Told.m_Order.value();
  Empty.m_Number = Told.m_Number;
  Empty.m_AgeUs = Told.m_Age.count();
  Empty.m_Traffic = static_cast<std::uint8_t>(Told.m_Traffic);
  Empty.m_RunningOld = Told.m_RunningOld;
  Empty.m_Sent = Told.m_Sent;
  Empty.m_SentNew = Told.m_SentNew;
  std::vector<RolloutReport> Out{Empty};
  Empty.m_WantsPermit = false;
  for (const auto &[Key, Counts] : Told.m_Counts) {
    if (Out.back().m_Counts.size() == MaxCellsInPart)
      Out.push_back(Empty);
    Out.back().m_Counts.push_back(toCell(Key, Counts));
  }
  return Out;
}

static rollout::Traffic toTraffic(std::uint8_t Value) {
  if (Value > static_cast<std::uint8_t>(rollout::Traffic::New))
    return rollout::Traffic::Old;
  return static_cast<rollout::Traffic>(Value);
}

rollout::Report toReport(const RolloutReport &Told) {
  rollout::Report Out;
  Out.m_Order = rollout::OrderId(Told.m_Order);
  Out.m_Number = Told.m_Number;
  Out.m_Age = core::Duration(Told.m_AgeUs);
  Out.m_Traffic = toTraffic(Told.m_Traffic);
  Out.m_RunningOld = Told.m_RunningOld;
  Out.m_Sent = Told.m_Sent;
  Out.m_SentNew = Told.m_SentNew;
  for (const RolloutCell &Each : Told.m_Counts) {
    rollout::ResponseCountsKey Key;
    Key.m_Side = Each.m_IsNew ? rollout::Side::New : rollout::Side::Old;
    Key.m_Target = Each.m_Target;
    Key.m_Route = Each.m_Route;
    rollout::ResponseCounts &Into = Out.m_Counts[Key];
    Into.m_Failures = Each.m_Failures;
    for (const RolloutTimes &Times : Each.m_Times)
      if (Times.m_Bin < rollout::TimeBinCount)
        Into.m_Times[Times.m_Bin] = Times.m_Count;
  }
  return Out;
}

RolloutPermit toMessage(const rollout::Permit &Given,
                        const core::PoolName &Pool) {
  return {Pool, Given.m_Order.value(), Given.m_Report,
          static_cast<std::uint8_t>(Given.m_Traffic), Given.m_Share};
}

rollout::Permit toPermit(const RolloutPermit &Given) {
  return {rollout::OrderId(Given.m_Order), Given.m_Report,
          toTraffic(Given.m_Traffic), Given.m_Share};
}

} // namespace yardrill::peer
