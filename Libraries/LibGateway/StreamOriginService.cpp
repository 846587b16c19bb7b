#include "LibGateway/StreamOriginService.h"

#include "LibCore/Digest.h"
#include "LibCore/Timer.h"
#include "LibGateway/StreamOriginRecord.h"

#include <algorithm>
#include <memory>

namespace yardrill::gateway {

namespace asio = boost::asio;

StreamOriginService::StreamOriginService(
    asio::io_context &Context, core::TimerService &Timers,
    platform::KeyValueService &Store, const config::Endpoint &Self,
    StreamOriginHooks Hooks,
    std::function<bool(const config::Endpoint &)> IsSilent)
    : m_Context(Context), m_Timers(Timers), m_IsSilent(std::move(IsSilent)),
      m_Exchange(core::randomBits(), withInstances(std::move(Hooks))),
      m_Record(Context, Store, StreamOriginRecord::nameOf(Self),
               MinRecordPeriod / 2, RecordLifetime) {}

StreamOriginHooks StreamOriginService::withInstances(StreamOriginHooks Hooks) {
  Hooks.m_ReplicaHolders = [this](const StreamKey &Key) {
    return select(Key, Replicas);
  };
  // A lookup begins to wait for responses once this has called back.
  Hooks.m_ConfirmOnlyVersion =
      [this, Confirm = std::move(Hooks.m_ConfirmOnlyVersion)](
          const StreamRoute &Route, StreamOriginHooks::VersionCallback Call) {
        Confirm(Route, [this, Call = std::move(Call)](
                           std::optional<core::TargetVersion> Only,
                           core::TimePoint Now) {
          Call(std::move(Only), Now);
          schedulePoll();
        });
      };
  Hooks.m_Asked = [this](const StreamKey &Key) {
    return select(Key, MaxAsked);
  };
  Hooks.m_FindRecorded = [this](const StreamKey &Key) {
    return findRecorded(Key);
  };
  return Hooks;
}

std::optional<StreamOrigin>
StreamOriginService::findRecorded(const StreamKey &Key) const {
  for (const auto &[RecordKey, Text] : m_RecordTexts)
    if (auto Found = StreamOriginRecord::find(Text, Key))
      return Found;
  return std::nullopt;
}

void StreamOriginService::applyEntry(const platform::Entry &Change) {
  if (m_Record.isRecordKey(Change.m_Key)) {
    m_Record.read(Change);
    // The first write after a restart replaces the record.
    if (m_RecordedAt == core::TimePoint())
      m_Exchange.takeOver(Change.m_Value, core::steadyNow() + RecordLifetime);
  }
  if (Change.m_IsDeleted)
    m_RecordTexts.erase(Change.m_Key);
  else
    m_RecordTexts[Change.m_Key] = Change.m_Value;
}

std::vector<config::Endpoint>
StreamOriginService::select(const StreamKey &Key, std::size_t Count) const {
  return m_Others.select(
      Key.m_Low, Count,
      [this](const config::Endpoint &Each) { return !m_IsSilent(Each); });
}

void StreamOriginService::recordBegin(const StreamKey &Key,
                                      const StreamRoute &Route,
                                      const StreamOrigin &Origin,
                                      core::TimePoint KeptUntil) {
  m_Exchange.recordBegin(Key, Route, Origin, KeptUntil, core::steadyNow());
}

namespace {

/// Shared by the waiting coroutine and the lookup, of which either can end
/// first.
struct PendingLookup {
  explicit PendingLookup(asio::io_context &Context) : m_Timer(Context) {}

  core::Timer m_Timer;
  bool m_IsDone = false;
  std::optional<StreamOrigin> m_Origin;
};

} // namespace

std::optional<StreamOrigin>
StreamOriginService::find(const StreamKey &Key, const StreamRoute &Route,
                          asio::yield_context Yield) {
  auto Pending = std::make_shared<PendingLookup>(m_Context);
  Pending->m_Timer.expires_at(core::Timer::time_point::max());
  m_Exchange.lookUp(Key, Route, [Pending](std::optional<StreamOrigin> Origin) {
    Pending->m_Origin = std::move(Origin);
    Pending->m_IsDone = true;
    Pending->m_Timer.cancel();
  });
  boost::system::error_code Ignored;
  if (!Pending->m_IsDone)
    Pending->m_Timer.async_wait(Yield[Ignored]);
  return Pending->m_Origin;
}

void StreamOriginService::schedulePoll() {
  if (m_IsPollScheduled || !m_Exchange.hasLookups())
    return;
  m_IsPollScheduled = true;
  m_Timers.callAfter(StreamOriginExchange::QueryPeriod,
                     [this](core::TimePoint Now) {
                       m_IsPollScheduled = false;
                       m_Exchange.pollLookups(Now);
                       schedulePoll();
                     });
}

void StreamOriginService::handle(const peer::PeerMessage &Message) {
  m_Exchange.handle(Message, core::steadyNow());
}

void StreamOriginService::upkeep(core::TimePoint Now) {
  m_Exchange.removeExpired(Now);
  m_Exchange.replicate(Now);
  writeRecord(Now);
}

void StreamOriginService::writeRecord(core::TimePoint Now) {
  core::Duration Period = std::max<core::Duration>(
      MinRecordPeriod, core::fromSeconds(static_cast<double>(m_InstanceCount) /
                                         RecordsPerSecond));
  if (Now - m_RecordedAt < Period)
    return;
  std::string Text = m_Exchange.recordText(Now);
  if (Text == m_Record.text())
    return;
  m_RecordedAt = Now;
  m_Record.write(Text, Now);
}

} // namespace yardrill::gateway
