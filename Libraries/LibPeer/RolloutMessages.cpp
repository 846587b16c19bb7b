//===-- RolloutMessages.cpp - Roll-out reports and permits of peers -------===//
#include "LibPeer/RolloutMessages.h"

namespace yardrill::peer {

/// Keeps a part within one datagram: the counts of one key take up to 140
/// bytes.
static constexpr std::size_t MaxCountsInPart = 9;

static RolloutCounts toCounts(const rollout::ResponseCountsKey &Key,
                              const rollout::ResponseCounts &Counts) {
  RolloutCounts Out;
  Out.m_IsNew = Key.m_Side == rollout::Side::New;
  Out.m_Target = Key.m_Target;
  Out.m_Route = Key.m_Route;
  Out.m_Failures = Counts.m_Failures;
  for (std::size_t I = 0; I < rollout::TimeBinCount; ++I)
    if (Counts.m_Times[I] > 0)
      Out.m_Times.push_back({static_cast<std::uint8_t>(I), Counts.m_Times[I]});
  return Out;
}

std::vector<RolloutReport> toMessages(const rollout::Report &Report,
                                      const core::PoolName &Pool) {
  RolloutReport Header;
  Header.m_Pool = Pool;
  Header.m_Order = Report.m_Order.value();
  Header.m_Number = Report.m_Number;
  Header.m_AgeUs = Report.m_Age.count();
  Header.m_Traffic = static_cast<std::uint8_t>(Report.m_Traffic);
  Header.m_RunningOld = Report.m_RunningOld;
  Header.m_Sent = Report.m_Sent;
  Header.m_SentNew = Report.m_SentNew;
  std::vector<RolloutReport> Out{Header};
  Header.m_WantsPermit = false;
  for (const auto &[Key, Counts] : Report.m_Counts) {
    if (Out.back().m_Counts.size() == MaxCountsInPart)
      Out.push_back(Header);
    Out.back().m_Counts.push_back(toCounts(Key, Counts));
  }
  return Out;
}

static rollout::Traffic toTraffic(std::uint8_t Value) {
  if (Value > static_cast<std::uint8_t>(rollout::Traffic::New))
    return rollout::Traffic::Old;
  return static_cast<rollout::Traffic>(Value);
}

rollout::Report toReport(const RolloutReport &Message) {
  rollout::Report Out;
  Out.m_Order = rollout::OrderId(Message.m_Order);
  Out.m_Number = Message.m_Number;
  Out.m_Age = core::Duration(Message.m_AgeUs);
  Out.m_Traffic = toTraffic(Message.m_Traffic);
  Out.m_RunningOld = Message.m_RunningOld;
  Out.m_Sent = Message.m_Sent;
  Out.m_SentNew = Message.m_SentNew;
  for (const RolloutCounts &Each : Message.m_Counts) {
    rollout::ResponseCountsKey Key;
    Key.m_Side = Each.m_IsNew ? rollout::Side::New : rollout::Side::Old;
    Key.m_Target = Each.m_Target;
    Key.m_Route = Each.m_Route;
    rollout::ResponseCounts &Counts = Out.m_Counts[Key];
    Counts.m_Failures = Each.m_Failures;
    for (const RolloutTimeBin &Times : Each.m_Times)
      if (Times.m_Bin < rollout::TimeBinCount)
        Counts.m_Times[Times.m_Bin] = Times.m_Count;
  }
  return Out;
}

RolloutPermit toMessage(const rollout::Permit &Granted,
                        const core::PoolName &Pool) {
  return {Pool, Granted.m_Order.value(), Granted.m_Report,
          static_cast<std::uint8_t>(Granted.m_Traffic), Granted.m_Share};
}

rollout::Permit toPermit(const RolloutPermit &Granted) {
  return {rollout::OrderId(Granted.m_Order), Granted.m_Report,
          toTraffic(Granted.m_Traffic), Granted.m_Share};
}

} // namespace yardrill::peer
