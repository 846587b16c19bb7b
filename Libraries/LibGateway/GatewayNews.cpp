//===-- GatewayNews.cpp - What the store says, and whom it is for ---------===//
#include "LibGateway/Gateway.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

namespace yardrill::gateway {

using core::Error;

void Gateway::take(const platform::Entry &Change) {
  if (m_Record.isItsKey(Change.m_Key)) {
    m_Roster.setRecorded(m_Record.read(Change));
    m_Peers->setRecorded(m_Roster.recorded());
    return updateQuotaOwners();
  }
  if (m_Quarantine.isItsKey(Change.m_Key))
    return m_Quarantine.take(Change);
  if (m_Rollouts.takeRecord(Change))
    return armRollouts();
  core::TimePoint Begin = core::steadyNow();
  StoreNews News;
  try {
    News = m_Wire.read(Change);
  } catch (const Error &Failure) {
    core::LogLine("store-entry-unreadable", core::LogLevel::Error)
        .add("key", Change.m_Key)
        .add("revision", Change.m_Modified)
        .add("reason", Failure.what());
    // What stood there before does not hold any more.
    if (auto Name = m_Wire.targetOf(Change))
      m_Targets.withdraw(*Name, core::steadyNow());
    return;
  }
  if (auto *Seen = std::get_if<ConfigurationSeen>(&News)) {
    core::LogLine("configuration-read")
        .add("version", Seen->m_Table->version())
        .add("revision", Change.m_Modified)
        .add("bytes", Change.m_Value.size())
        .add("took_us", core::steadyNow() - Begin);
    return adopt(std::move(Seen->m_Table));
  }
  if (const auto *Seen = std::get_if<TargetSeen>(&News))
    return take(Seen->m_Target, Change.m_Modified);
  if (const auto *Gone = std::get_if<TargetGone>(&News)) {
    core::LogLine("target-gone")
        .add("target", Gone->m_Target)
        .add("revision", Change.m_Modified);
    if (routing::KnownTarget *Known = m_Targets.find(Gone->m_Target))
      m_Ends.noteEnded(Known->m_Target.run());
    m_Targets.withdraw(Gone->m_Target, core::steadyNow());
    return;
  }
  if (const auto *Seen = std::get_if<RolloutOrderSeen>(&News))
    m_Rollouts.setOrder(Seen->m_Order.m_Pool, Seen->m_Order);
  if (const auto *Gone = std::get_if<RolloutOrderGone>(&News))
    m_Rollouts.setOrder(Gone->m_Pool, std::nullopt);
  if (const auto *Seen = std::get_if<RolloutStatusSeen>(&News))
    m_Rollouts.setStatus(Seen->m_Pool, Seen->m_Status,
                         Change.m_IsDeleted ? platform::Revision()
                                            : Change.m_Modified);
  armRollouts();
}

void Gateway::take(const routing::Target &Seen, platform::Revision At) {
  routing::AnnouncementEffect Effect = m_Targets.announce(Seen);
  if (Effect == routing::AnnouncementEffect::Nothing)
    return;
  core::LogLine("target-seen")
      .add("target", Seen.m_Name)
      .add("birth", Seen.m_StartTime)
      .add("pool", Seen.m_Pool)
      .add("address", Seen.m_Address.toString())
      .add("is_leaving", Seen.m_IsLeaving)
      .add("revision", At);
  if (Effect == routing::AnnouncementEffect::NewRun)
    m_Connections.forget(Seen.m_Address.toTcp());
}

} // namespace yardrill::gateway
