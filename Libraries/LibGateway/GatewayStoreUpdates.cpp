//===-- GatewayStoreUpdates.cpp - What the store says, and whom it is for
//---===//
#include "LibGateway/Gateway.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

namespace yardrill::gateway {

using core::Error;

void Gateway::applyEntry(const platform::Entry &Change) {
  if (m_MembershipRecord.isRecordKey(Change.m_Key)) {
    m_Membership.setRecorded(m_MembershipRecord.read(Change));
    m_Peers->setRecorded(m_Membership.recorded());
    return updateQuotaOwners();
  }
  if (m_Quarantine.isRecordKey(Change.m_Key))
    return m_Quarantine.applyEntry(Change);
  if (m_Rollouts.takeRecord(Change))
    return scheduleRolloutUpkeep();
  core::TimePoint Begin = core::steadyNow();
  StoreUpdate News;
  try {
    News = m_Wire.read(Change);
  } catch (const Error &Failure) {
    core::LogLine("store-entry-unreadable", core::LogLevel::Error)
        .add("key", Change.m_Key)
        .add("revision", Change.m_ModRevision)
        .add("reason", Failure.what());
    // What stood there before does not hold any more.
    if (auto Name = m_Wire.targetOf(Change))
      m_Targets.withdraw(*Name, core::steadyNow());
    return;
  }
  if (auto *Seen = std::get_if<ConfigurationUpdate>(&News)) {
    core::LogLine("configuration-read")
        .add("version", Seen->m_Table->version())
        .add("revision", Change.m_ModRevision)
        .add("bytes", Change.m_Value.size())
        .add("took_us", core::steadyNow() - Begin);
    return applyConfiguration(std::move(Seen->m_Table));
  }
  if (const auto *Seen = std::get_if<TargetUpdate>(&News))
    return applyTarget(Seen->m_Target, Change.m_ModRevision);
  if (const auto *Gone = std::get_if<TargetRemoval>(&News)) {
    core::LogLine("target-gone")
        .add("target", Gone->m_Target)
        .add("revision", Change.m_ModRevision);
    if (routing::KnownTarget *Known = m_Targets.find(Gone->m_Target))
      m_ExitDetector.noteTargetExit(Known->m_Target.run());
    m_Targets.withdraw(Gone->m_Target, core::steadyNow());
    return;
  }
  if (const auto *Seen = std::get_if<RolloutOrderUpdate>(&News))
    m_Rollouts.setOrder(Seen->m_Order.m_Pool, Seen->m_Order);
  if (const auto *Gone = std::get_if<RolloutOrderRemoval>(&News))
    m_Rollouts.setOrder(Gone->m_Pool, std::nullopt);
  if (const auto *Seen = std::get_if<RolloutStatusUpdate>(&News))
    m_Rollouts.setStatus(Seen->m_Pool, Seen->m_Status,
                         Change.m_IsDeleted ? platform::Revision()
                                            : Change.m_ModRevision);
  scheduleRolloutUpkeep();
}

void Gateway::applyTarget(const routing::Target &Seen, platform::Revision At) {
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
    m_Connections.closeIdle(Seen.m_Address.toTcp());
}

} // namespace yardrill::gateway
