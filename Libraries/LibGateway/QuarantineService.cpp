//===-- QuarantineService.cpp - Quarantine shared by all instances --------===//
#include "LibGateway/QuarantineService.h"

#include "LibCore/Digest.h"
#include "LibCore/Log.h"

#include <algorithm>

namespace yardrill::gateway {

using quarantine::ContentDigest;
using quarantine::Observation;

const char QuarantineService::RecordName[] = "quarantine";
static constexpr std::chrono::milliseconds WritePeriod{500};
/// Number of instances to which observations not yet in the store are sent at a
/// time. They reach all after a number of rounds logarithmic in the fleet's
/// size.
static constexpr std::size_t GossipFanout = 2;

QuarantineService::QuarantineService(boost::asio::io_context &Context,
                                     platform::KeyValueService &Store,
                                     QuarantineHooks Hooks)
    : m_Hooks(std::move(Hooks)), m_Gossip(gossipHooks()),
      m_Trials(m_Gossip.table(),
               [this](const ContentDigest &Content) {
                 return m_Hooks.m_MayTryAgain(Content);
               }),
      m_Record(Context, Store, RecordName, WritePeriod),
      m_Random(core::randomBits()) {}

quarantine::GossipHooks QuarantineService::gossipHooks() {
  quarantine::GossipHooks Out;
  Out.m_Broadcast = [this](const std::vector<Observation> &Observations) {
    sendTo(Observations, m_Hooks.m_Others());
  };
  Out.m_SendToSample = [this](const std::vector<Observation> &Observations) {
    sendToSample(Observations);
  };
  Out.m_Changed = [this](const ContentDigest &Content, bool IsQuarantined) {
    if (!IsQuarantined)
      m_Trials.forget(Content);
    core::LogLine(IsQuarantined ? "content-quarantined" : "content-released",
                  core::LogLevel::Warning)
        .add("content", Content)
        .add("is_part", Content.isPart())
        .add("targets_ended", table().incriminatingIncarnations(Content));
  };
  return Out;
}

void QuarantineService::noteTargetExit(const routing::Target &Exited,
                                       const Contents &Of) {
  m_Gossip.noteTargetExit(Of, Exited.incarnation().hash(), core::steadyNow());
  for (const ContentDigest &Each : Of)
    core::LogLine("target-ended", core::LogLevel::Warning)
        .add("target", Exited.m_Name)
        .add("birth", Exited.m_StartTime)
        .add("pool", Exited.m_Pool)
        .add("content", Each)
        .add("is_part", Each.isPart())
        .add("targets_ended", table().incriminatingIncarnations(Each));
}

void QuarantineService::noteSuccess(const Contents &Of) {
  m_Gossip.noteSuccess(Of, core::steadyNow());
}

bool QuarantineService::isQuarantined(const Contents &Of) const {
  return table().quarantined() > 0 &&
         std::any_of(Of.begin(), Of.end(), [this](const ContentDigest &Each) {
           return table().isQuarantined(Each);
         });
}

bool QuarantineService::isSuspect(const Contents &Of) const {
  return table().size() > 0 &&
         std::any_of(Of.begin(), Of.end(), [this](const ContentDigest &Each) {
           return table().isSuspect(Each);
         });
}

bool QuarantineService::tryBeginTrial(const Contents &Of, core::TimePoint Now) {
  if (!m_Trials.tryBegin(Of, Now))
    return false;
  for (const ContentDigest &Each : Of)
    if (table().isQuarantined(Each))
      core::LogLine("content-tried-again")
          .add("content", Each)
          .add("is_part", Each.isPart())
          .add("targets_ended", table().incriminatingIncarnations(Each));
  return true;
}

void QuarantineService::handle(const peer::PeerMessage &Message) {
  const auto *Update = std::get_if<peer::QuarantineUpdate>(&Message.m_Body);
  if (!Update)
    return;
  std::vector<Observation> Observations;
  for (const peer::QuarantineObservation &Each : Update->m_Observations)
    Observations.push_back({{Each.m_ContentHigh, Each.m_ContentLow},
                            Each.m_Incarnation,
                            Each.m_IsCleared});
  m_Gossip.merge(Observations, core::steadyNow());
}

void QuarantineService::sendTo(const std::vector<Observation> &Observations,
                               const std::vector<config::Endpoint> &To) {
  for (std::size_t First = 0; First < Observations.size();
       First += peer::QuarantineUpdate::MaxObservations) {
    peer::QuarantineUpdate Body;
    std::size_t End = std::min(Observations.size(),
                               First + peer::QuarantineUpdate::MaxObservations);
    for (std::size_t I = First; I < End; ++I)
      Body.m_Observations.push_back(
          {Observations[I].m_Content.m_High, Observations[I].m_Content.m_Low,
           Observations[I].m_Incarnation, Observations[I].m_IsCleared});
    for (const config::Endpoint &Each : To)
      m_Hooks.m_Send(Each, Body);
  }
}

void QuarantineService::sendToSample(
    const std::vector<Observation> &Observations) {
  std::vector<config::Endpoint> Others = m_Hooks.m_Others();
  std::vector<config::Endpoint> Sample;
  std::sample(Others.begin(), Others.end(), std::back_inserter(Sample),
              GossipFanout, m_Random);
  sendTo(Observations, Sample);
}

void QuarantineService::applyEntry(const platform::Entry &Change) {
  if (!m_Gossip.mergeStored(m_Record.read(Change), core::steadyNow()))
    m_Record.logUnreadable(Change);
}

void QuarantineService::upkeep(core::TimePoint Now) {
  m_Gossip.upkeep(Now);
  if (!m_Hooks.m_IsRecordWriter())
    return;
  std::string Text = m_Gossip.storedText();
  if (Text != m_Record.text())
    m_Record.write(Text, Now);
}

} // namespace yardrill::gateway
