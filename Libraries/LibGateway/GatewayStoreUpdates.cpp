//===-- GatewayStoreUpdates.cpp - Applies changes of the store ------------===//
#include "LibGateway/Gateway.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibGateway/StreamOriginRecord.h"

namespace yardrill::gateway {

using core::Error;

/// Time after which what is missing in a restored store counts as taken back:
/// targets and operators write their entries again within two seconds.
static constexpr std::chrono::milliseconds RestoredGracePeriod{2400};
/// Age of the oldest copy from which a store comes back.
static constexpr std::chrono::minutes GoneTargetMemory{5};

bool Gateway::isHeldBack(const platform::Entry &Change,
                         const StoreUpdate &Decoded) {
  if (const auto *Update = std::get_if<TargetUpdate>(&Decoded)) {
    const routing::Target &Copied = Update->m_Target;
    const routing::KnownTarget *Known =
        m_Targets.findByIncarnation(Copied.incarnation());
    if (Known && Known->m_Target.m_IsLeaving && !Copied.m_IsLeaving)
      return true;
    auto Gone = m_GoneTargets.find(Copied.m_Name);
    return Gone != m_GoneTargets.end() &&
           Gone->second.m_StartTime == Copied.m_StartTime;
  }
  if (!std::holds_alternative<DataHallUpdate>(Decoded) &&
      !std::holds_alternative<RolloutOrderUpdate>(Decoded) &&
      !std::holds_alternative<RolloutOrderRemoval>(Decoded))
    return false;
  m_Timers.callAfter(RestoredGracePeriod, [this, Change](core::TimePoint) {
    applyHeldBack(Change);
  });
  return true;
}

void Gateway::applyHeldBack(const platform::Entry &HeldBack) {
  const platform::Entry *Current = m_Mirror.find(HeldBack.m_Key);
  bool IsUnchanged =
      HeldBack.m_IsDeleted
          ? Current == nullptr
          : Current && Current->m_ModRevision == HeldBack.m_ModRevision;
  if (!IsUnchanged)
    return;
  platform::Entry Change = HeldBack;
  Change.m_IsRestored = false;
  applyEntry(Change);
}

void Gateway::applyTargetRemoval(const TargetRemoval &Removal,
                                 const platform::Entry &Change) {
  core::TimePoint Now = core::steadyNow();
  core::LogLine("target-gone")
      .add("target", Removal.m_Target)
      .add("revision", Change.m_ModRevision)
      .add("is_restored", Change.m_IsRestored);
  routing::KnownTarget *Known = m_Targets.find(Removal.m_Target);
  if (Known && !Change.m_IsRestored) {
    m_GoneTargets[Removal.m_Target] = {Known->m_Target.m_StartTime, Now};
    m_ExitDetector.noteTargetExit(Known->m_Target.incarnation());
  }
  m_Targets.withdraw(Removal.m_Target, Now, Change.m_IsRestored);
}

void Gateway::removeOldGoneTargets(core::TimePoint Now) {
  for (auto Each = m_GoneTargets.begin(); Each != m_GoneTargets.end();)
    Each = Now - Each->second.m_GoneAt > GoneTargetMemory
               ? m_GoneTargets.erase(Each)
               : std::next(Each);
}

void Gateway::applyEntry(const platform::Entry &Change) {
  if (applyMembershipRecord(Change))
    return;
  if (m_Quarantine.isRecordKey(Change.m_Key))
    return m_Quarantine.applyEntry(Change);
  if (StreamOriginRecord::isRecordKey(Change.m_Key))
    return m_StreamOrigins.applyEntry(Change);
  if (m_Rollouts.applyRecord(Change))
    return scheduleRolloutUpkeep();
  core::TimePoint Begin = core::steadyNow();
  StoreUpdate Decoded;
  try {
    Decoded = m_Wire.read(Change);
  } catch (const Error &Failure) {
    core::LogLine("store-entry-unreadable", core::LogLevel::Error)
        .add("key", Change.m_Key)
        .add("revision", Change.m_ModRevision)
        .add("reason", Failure.what());
    // The malformed entry has replaced the target's announcement.
    if (auto Name = m_Wire.targetOf(Change))
      m_Targets.withdraw(*Name, core::steadyNow());
    return;
  }
  if (Change.m_IsRestored && isHeldBack(Change, Decoded)) {
    core::LogLine("restored-entry-held-back")
        .add("key", Change.m_Key)
        .add("revision", Change.m_ModRevision);
    return;
  }
  if (auto *Update = std::get_if<ConfigurationUpdate>(&Decoded)) {
    core::LogLine("configuration-read")
        .add("version", Update->m_Table->version())
        .add("revision", Change.m_ModRevision)
        .add("bytes", Change.m_Value.size())
        .add("took_us", core::steadyNow() - Begin);
    return applyConfiguration(std::move(Update->m_Table));
  }
  if (const auto *Update = std::get_if<TargetUpdate>(&Decoded))
    return applyTarget(*Update, Change.m_ModRevision);
  if (const auto *Update = std::get_if<DataHallUpdate>(&Decoded))
    return applyDataHall(*Update, Change.m_ModRevision);
  if (const auto *Removal = std::get_if<TargetRemoval>(&Decoded))
    return applyTargetRemoval(*Removal, Change);
  if (const auto *Update = std::get_if<RolloutOrderUpdate>(&Decoded))
    m_Rollouts.setOrder(Update->m_Order.m_Pool, Update->m_Order);
  if (const auto *Removal = std::get_if<RolloutOrderRemoval>(&Decoded))
    m_Rollouts.setOrder(Removal->m_Pool, std::nullopt);
  if (const auto *Update = std::get_if<RolloutStatusUpdate>(&Decoded))
    m_Rollouts.setStatus(Update->m_Pool, Update->m_Status,
                         Change.m_IsDeleted ? platform::Revision()
                                            : Change.m_ModRevision);
  scheduleRolloutUpkeep();
}

void Gateway::applyDataHall(const DataHallUpdate &Update,
                            platform::Revision ModRevision) {
  if (!m_Targets.setDrained(Update.m_DataHall, Update.m_IsDrained,
                            core::steadyNow()))
    return;
  core::LogLine(Update.m_IsDrained ? "data-hall-drained" : "data-hall-restored",
                core::LogLevel::Warning)
      .add("data_hall", Update.m_DataHall)
      .add("revision", ModRevision);
}

void Gateway::updateWarmUp(const TargetUpdate &Update,
                           routing::AnnouncementEffect Effect) {
  core::TimePoint Now = core::steadyNow();
  const core::TargetName &Name = Update.m_Target.m_Name;
  m_Targets.setStatedWarmUp(Name, Now + Update.m_WarmUpLeft, Now);
  // The announcement of a target that has just started, or that this process
  // finds at its own restart, may be older than the warm-up. At the first start
  // of a deployment, targets warm up before the first request.
  bool IsInFirstSnapshot = m_Mirror.revision() == platform::Revision();
  if (Effect == routing::AnnouncementEffect::NewIncarnation &&
      !(IsInFirstSnapshot && m_Settings.m_IsFirstStart))
    m_Targets.assumeWarmUp(Name, Now);
}

void Gateway::applyTarget(const TargetUpdate &Announced,
                          platform::Revision ModRevision) {
  const routing::Target &Update = Announced.m_Target;
  m_GoneTargets.erase(Update.m_Name);
  routing::AnnouncementEffect Effect = m_Targets.announce(Update);
  updateWarmUp(Announced, Effect);
  if (Effect == routing::AnnouncementEffect::Nothing)
    return;
  m_StreamOrigins.replicate();
  core::LogLine("target-seen")
      .add("target", Update.m_Name)
      .add("birth", Update.m_StartTime)
      .add("pool", Update.m_Pool)
      .add("version", Update.m_Version)
      .add("address", Update.m_Address.toString())
      .add("is_leaving", Update.m_IsLeaving)
      .add("revision", ModRevision);
}

} // namespace yardrill::gateway
