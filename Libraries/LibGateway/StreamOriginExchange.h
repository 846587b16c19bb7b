//===-- StreamOriginExchange.h - Instances remember where streams began ---===//
//
// A stream may go on only at targets of the pool and version that began it, and
// its caller may return to any instance. While a pool has targets of one
// version only, that is the version of all its streams. Otherwise the instance
// that relays a stream's first event also tells it a few others, chosen by the
// key of the stream, before its caller gets the event. An instance that doesn't
// know where a stream began looks into records in the store, which outlive all
// instances but may lack the newest streams, and then asks these.
//
// Does no I/O and reads no clock, so that whole fleets can be simulated.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_STREAMORIGINEXCHANGE_H
#define YARDRILL_LIBGATEWAY_STREAMORIGINEXCHANGE_H

#include "LibConfig/Endpoint.h"
#include "LibCore/CorrelationIds.h"
#include "LibGateway/StreamOriginTable.h"
#include "LibPeer/PeerMessage.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace yardrill::gateway {

/// Callbacks through which StreamOriginExchange uses the gateway.
struct StreamOriginHooks {
  using VersionCallback = std::function<void(std::optional<core::TargetVersion>,
                                             core::TimePoint Now)>;

  /// Sends a message to other instances; it can be lost.
  std::function<void(const std::vector<config::Endpoint> &,
                     const peer::PeerBody &)>
      m_Send;
  /// Returns the other instances that hold a replica of a stream's origin.
  std::function<std::vector<config::Endpoint>(const StreamKey &)>
      m_ReplicaHolders;
  /// Returns the other instances to ask for the origin of a stream: the holders
  /// as any instance may see them.
  std::function<std::vector<config::Endpoint>(const StreamKey &)> m_Asked;
  /// Returns the only version that targets of the route's pool have had for as
  /// long as any caller may still resume its stream, as far as this instance
  /// knows; none if there were several, or if it doesn't know.
  std::function<std::optional<core::TargetVersion>(const StreamRoute &)>
      m_OnlyVersion;
  /// Whether this instance would know of a new version by now.
  std::function<bool()> m_IsUpToDate;
  /// Returns the origin of a stream by the records in the store, or none.
  std::function<std::optional<StreamOrigin>(const StreamKey &)> m_FindRecorded;
  /// Calls back with the result of m_OnlyVersion once this instance knows all
  /// versions that were announced before the call; with none if it is unknown.
  std::function<void(const StreamRoute &, VersionCallback)>
      m_ConfirmOnlyVersion;
};

/// Keeps and looks up the origins of streams; used by StreamOriginService.
class StreamOriginExchange {
public:
  using LookupId = std::uint64_t;
  /// Receives the origin of a stream; none if it is unknown.
  using OnFound = std::function<void(std::optional<StreamOrigin>)>;

  /// \param FirstLookup see core::CorrelationIds.
  StreamOriginExchange(LookupId FirstLookup, StreamOriginHooks Hooks)
      : m_Hooks(std::move(Hooks)), m_LookupIds(FirstLookup) {}

  /// Records the origin of a stream that begins or goes on at this instance. To
  /// be called before its caller gets the first event.
  void recordBegin(const StreamKey &Key, const StreamRoute &Route,
                   const StreamOrigin &Origin, core::TimePoint KeptUntil,
                   core::TimePoint Now);
  /// Forgets a stream that its caller has in full.
  void recordComplete(const StreamKey &Key) { m_Table.erase(Key); }
  /// Looks up the origin of a stream. \p Found may be called at once, and is
  /// called within LookupTimeout and the time of m_ConfirmOnlyVersion.
  void lookUp(const StreamKey &Key, const StreamRoute &Route, OnFound Found);
  /// Handles a message of another instance; ignores those of other kinds.
  void handle(const peer::PeerMessage &Message, core::TimePoint Now);
  /// Sends the records of open streams that other instances need from now on.
  /// To be called when versions, routes or the store's state have changed.
  void replicate(core::TimePoint Now);
  /// Repeats queries and ends lookups. To be called every QueryPeriod while
  /// hasLookups().
  void pollLookups(core::TimePoint Now);
  /// Takes over what this instance had recorded before it restarted.
  void takeOver(const std::string &RecordText, core::TimePoint KeptUntil);
  /// Returns the text of a StreamOriginRecord of the open streams that this
  /// instance relays and whose origins other instances need.
  std::string recordText(core::TimePoint Now) const;
  /// Removes old records. To be called about once a second.
  void removeExpired(core::TimePoint Now) { m_Table.removeExpired(Now); }
  bool hasLookups() const { return !m_Lookups.empty(); }
  std::size_t size() const { return m_Table.size(); }

  /// Period in which a query is repeated to those that have not answered.
  static constexpr std::chrono::milliseconds QueryPeriod{25};
  /// Time after which a lookup without a response ends as unknown.
  static constexpr std::chrono::milliseconds LookupTimeout{150};
  /// Bound of the streams in a record.
  static constexpr std::size_t MaxRecordedStreams = 1024;

private:
  struct Lookup {
    StreamKey m_Key;
    StreamRoute m_Route;
    OnFound m_Found;
    core::TimePoint m_EndsAt{};
    std::set<config::Endpoint> m_Unanswered;
  };

  /// Whether other instances must know the origins of a route's streams.
  bool mustReplicate(const StreamRoute &Route) const;
  /// Sends a record to the holders of its replicas. \returns false if there are
  /// none.
  bool send(const StreamKey &Key, const StreamRecord &Record,
            core::TimePoint Now) const;
  void ask(const StreamKey &Key, const StreamRoute &Route, OnFound Found,
           core::TimePoint Now);
  void sendQuery(LookupId Id, const Lookup &Pending) const;
  void finish(LookupId Id, std::optional<StreamOrigin> Origin);
  void handleUpdate(const peer::StreamOriginUpdate &Update,
                    core::TimePoint Now);
  void handleQuery(const config::Endpoint &From,
                   const peer::StreamOriginQuery &Query);
  void handleResponse(const config::Endpoint &From,
                      const peer::StreamOriginResponse &Response);

  StreamOriginHooks m_Hooks;
  StreamOriginTable m_Table;
  std::map<LookupId, Lookup> m_Lookups;
  core::CorrelationIds m_LookupIds;
};

} // namespace yardrill::gateway

#endif
