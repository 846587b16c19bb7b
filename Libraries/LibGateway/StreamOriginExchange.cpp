#include "LibGateway/StreamOriginExchange.h"

#include "LibCore/Log.h"
#include "LibGateway/StreamOriginRecord.h"

namespace yardrill::gateway {

using peer::StreamOriginAnswer;

/// Longest version that fits a datagram with room to spare.
static constexpr std::size_t MaxVersionBytes = 256;

static std::uint32_t toMilliseconds(core::Duration Time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

//===----------------------------------------------------------------------===//
// Records
//===----------------------------------------------------------------------===//

bool StreamOriginExchange::mustReplicate(const StreamRoute &Route) const {
  return !m_Hooks.m_IsUpToDate() || !m_Hooks.m_OnlyVersion(Route);
}

void StreamOriginExchange::recordBegin(const StreamKey &Key,
                                       const StreamRoute &Route,
                                       const StreamOrigin &Origin,
                                       core::TimePoint KeptUntil,
                                       core::TimePoint Now) {
  StreamRecord Record{Origin, KeptUntil, Route, true, false};
  Record.m_IsReplicated = mustReplicate(Route) && send(Key, Record, Now);
  m_Table.put(Key, std::move(Record));
}

bool StreamOriginExchange::send(const StreamKey &Key,
                                const StreamRecord &Record,
                                core::TimePoint Now) const {
  std::vector<config::Endpoint> Holders = m_Hooks.m_ReplicaHolders(Key);
  if (Holders.empty() ||
      Record.m_Origin.m_Version.value().size() > MaxVersionBytes)
    return false;
  peer::StreamOriginUpdate Update;
  Update.m_Entries.push_back({Key.m_High, Key.m_Low, Record.m_Origin.m_Pool,
                              Record.m_Origin.m_Version.value(),
                              toMilliseconds(Record.m_KeptUntil - Now)});
  m_Hooks.m_Send(Holders, Update);
  return true;
}

void StreamOriginExchange::replicate(core::TimePoint Now) {
  for (auto &[Key, Record] : m_Table.all()) {
    if (!Record.m_IsOwn || Record.m_IsReplicated || Record.m_KeptUntil <= Now ||
        !mustReplicate(Record.m_Route))
      continue;
    Record.m_IsReplicated = send(Key, Record, Now);
  }
}

void StreamOriginExchange::takeOver(const std::string &RecordText,
                                    core::TimePoint KeptUntil) {
  for (auto &[Key, Origin] : StreamOriginRecord::parse(RecordText))
    if (!m_Table.find(Key))
      m_Table.put(Key, {std::move(Origin), KeptUntil, {}, true, true});
}

std::string StreamOriginExchange::recordText(core::TimePoint Now) const {
  std::string Out;
  std::size_t Count = 0;
  for (const auto &[Key, Record] : m_Table.all())
    if (Count < MaxRecordedStreams && Record.m_IsOwn &&
        Record.m_KeptUntil > Now && mustReplicate(Record.m_Route)) {
      StreamOriginRecord::append(Out, Key, Record.m_Origin);
      ++Count;
    }
  return Out;
}

void StreamOriginExchange::handleUpdate(const peer::StreamOriginUpdate &Update,
                                        core::TimePoint Now) {
  for (const peer::StreamOriginEntry &Each : Update.m_Entries) {
    StreamRecord Record;
    Record.m_Origin = {Each.m_Pool, core::TargetVersion(Each.m_Version)};
    Record.m_KeptUntil = Now + std::chrono::milliseconds(Each.m_LifetimeMs);
    m_Table.put({Each.m_KeyHigh, Each.m_KeyLow}, std::move(Record));
  }
}

//===----------------------------------------------------------------------===//
// Lookups
//===----------------------------------------------------------------------===//

void StreamOriginExchange::lookUp(const StreamKey &Key,
                                  const StreamRoute &Route, OnFound Found) {
  if (const StreamRecord *Record = m_Table.find(Key))
    return Found(Record->m_Origin);
  if (auto Recorded = m_Hooks.m_FindRecorded(Key))
    return Found(std::move(Recorded));
  m_Hooks.m_ConfirmOnlyVersion(
      Route,
      [this, Key, Route, Found = std::move(Found)](
          const std::optional<core::TargetVersion> &Only, core::TimePoint Now) {
        if (Only)
          return Found(StreamOrigin{routing::hashOf(Route.m_Pool), *Only});
        ask(Key, Route, Found, Now);
      });
}

void StreamOriginExchange::ask(const StreamKey &Key, const StreamRoute &Route,
                               OnFound Found, core::TimePoint Now) {
  std::vector<config::Endpoint> Asked = m_Hooks.m_Asked(Key);
  if (Asked.empty())
    return Found(std::nullopt);
  LookupId Id = m_LookupIds.next();
  Lookup &Added = m_Lookups[Id];
  Added = {Key,
           Route,
           std::move(Found),
           Now + LookupTimeout,
           {Asked.begin(), Asked.end()}};
  sendQuery(Id, Added);
}

void StreamOriginExchange::sendQuery(LookupId Id, const Lookup &Pending) const {
  peer::StreamOriginQuery Query{Id, Pending.m_Key.m_High, Pending.m_Key.m_Low,
                                Pending.m_Route.m_Route,
                                Pending.m_Route.m_Pool.value()};
  m_Hooks.m_Send({Pending.m_Unanswered.begin(), Pending.m_Unanswered.end()},
                 Query);
}

void StreamOriginExchange::pollLookups(core::TimePoint Now) {
  std::vector<LookupId> Ended;
  for (const auto &[Id, Pending] : m_Lookups)
    if (Pending.m_EndsAt <= Now)
      Ended.push_back(Id);
    else
      sendQuery(Id, Pending);
  for (LookupId Id : Ended)
    finish(Id, std::nullopt);
}

void StreamOriginExchange::finish(LookupId Id,
                                  std::optional<StreamOrigin> Origin) {
  auto Found = m_Lookups.find(Id);
  OnFound Report = std::move(Found->second.m_Found);
  m_Lookups.erase(Found);
  Report(std::move(Origin));
}

void StreamOriginExchange::handleQuery(const config::Endpoint &From,
                                       const peer::StreamOriginQuery &Query) {
  auto Respond = [this, From, Id = Query.m_QueryId](
                     StreamOriginAnswer Answer, const StreamOrigin &Origin) {
    m_Hooks.m_Send({From},
                   peer::StreamOriginResponse{Id, Answer, Origin.m_Pool,
                                              Origin.m_Version.value()});
  };
  if (const StreamRecord *Record =
          m_Table.find({Query.m_KeyHigh, Query.m_KeyLow}))
    return Respond(StreamOriginAnswer::Recorded, Record->m_Origin);
  StreamRoute Route{Query.m_Route, core::PoolName(Query.m_Pool)};
  m_Hooks.m_ConfirmOnlyVersion(
      Route, [Respond, Route](const std::optional<core::TargetVersion> &Only,
                              core::TimePoint) {
        if (Only)
          return Respond(StreamOriginAnswer::OnlyVersion,
                         {routing::hashOf(Route.m_Pool), *Only});
        Respond(StreamOriginAnswer::Unknown, {});
      });
}

void StreamOriginExchange::handleResponse(
    const config::Endpoint &From, const peer::StreamOriginResponse &Response) {
  auto Found = m_Lookups.find(Response.m_QueryId);
  if (Found == m_Lookups.end() || Found->second.m_Unanswered.erase(From) == 0)
    return;
  if (Response.m_Answer != StreamOriginAnswer::Unknown)
    return finish(
        Response.m_QueryId,
        StreamOrigin{Response.m_Pool, core::TargetVersion(Response.m_Version)});
  if (Found->second.m_Unanswered.empty())
    finish(Response.m_QueryId, std::nullopt);
}

void StreamOriginExchange::handle(const peer::PeerMessage &Message,
                                  core::TimePoint Now) {
  const config::Endpoint &From = Message.m_From.m_Peer;
  if (const auto *Update =
          std::get_if<peer::StreamOriginUpdate>(&Message.m_Body))
    return handleUpdate(*Update, Now);
  if (const auto *Query = std::get_if<peer::StreamOriginQuery>(&Message.m_Body))
    return handleQuery(From, *Query);
  if (const auto *Response =
          std::get_if<peer::StreamOriginResponse>(&Message.m_Body))
    handleResponse(From, *Response);
}

} // namespace yardrill::gateway
