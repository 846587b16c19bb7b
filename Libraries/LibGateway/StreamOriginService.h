//===-- StreamOriginService.h - Looks up where streams have begun ---------===//
#ifndef YARDRILL_LIBGATEWAY_STREAMORIGINSERVICE_H
#define YARDRILL_LIBGATEWAY_STREAMORIGINSERVICE_H

#include "LibCore/TimerService.h"
#include "LibGateway/StoreRecord.h"
#include "LibGateway/StreamOriginExchange.h"
#include "LibRouting/RendezvousHash.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

namespace yardrill::gateway {

/// Runs a StreamOriginExchange on the event loop and chooses the instances that
/// keep the origin of each stream; owned by Gateway.
class StreamOriginService {
public:
  /// \param Self peer address of this instance.
  /// \param Hooks without those that choose instances or use records, which are
  /// set here.
  /// \param IsSilent whether the instance at that address is known to be
  /// silent.
  StreamOriginService(boost::asio::io_context &Context,
                      core::TimerService &Timers,
                      platform::KeyValueService &Store,
                      const config::Endpoint &Self, StreamOriginHooks Hooks,
                      std::function<bool(const config::Endpoint &)> IsSilent);

  /// Sets all other instances.
  void setOthers(const std::vector<config::Endpoint> &Others) {
    m_Others = routing::RendezvousHash(Others);
    m_InstanceCount = Others.size() + 1;
  }
  /// Waits for the origin of a stream. \returns none if it is unknown.
  std::optional<StreamOrigin> find(const StreamKey &Key,
                                   const StreamRoute &Route,
                                   boost::asio::yield_context Yield);
  void handle(const peer::PeerMessage &Message);
  /// Applies a change of an instance's StreamOriginRecord.
  void applyEntry(const platform::Entry &Change);
  /// Must be called a few times a second.
  void upkeep(core::TimePoint Now);

  // See StreamOriginExchange.
  void recordBegin(const StreamKey &Key, const StreamRoute &Route,
                   const StreamOrigin &Origin, core::TimePoint KeptUntil);
  void recordComplete(const StreamKey &Key) { m_Exchange.recordComplete(Key); }
  void replicate() { m_Exchange.replicate(core::steadyNow()); }
  std::size_t size() const { return m_Exchange.size(); }

  /// Instances that hold the origin of a stream beside the one that relays it.
  static constexpr std::size_t Replicas = 3;
  /// Instances that are asked: more than hold a replica, since instances may
  /// see others as silent or not.
  static constexpr std::size_t MaxAsked = Replicas + 2;
  /// Time between two writes of a record, which grows with the fleet so that
  /// all instances together write at most RecordsPerSecond.
  static constexpr std::chrono::milliseconds MinRecordPeriod{500};
  static constexpr double RecordsPerSecond = 20;
  /// Time for which a record outlives its instance, at least half of it;
  /// exceeds the time for which callers resume streams.
  static constexpr std::chrono::seconds RecordLifetime{240};

private:
  StreamOriginHooks withInstances(StreamOriginHooks Hooks);
  std::optional<StreamOrigin> findRecorded(const StreamKey &Key) const;
  void writeRecord(core::TimePoint Now);
  /// Returns instances that are not known to be silent, the same ones at all
  /// instances that see the same fleet.
  std::vector<config::Endpoint> select(const StreamKey &Key,
                                       std::size_t Count) const;
  void schedulePoll();

  boost::asio::io_context &m_Context;
  core::TimerService &m_Timers;
  std::function<bool(const config::Endpoint &)> m_IsSilent;
  routing::RendezvousHash m_Others;
  std::size_t m_InstanceCount = 1;
  StreamOriginExchange m_Exchange;
  StoreRecord m_Record;           ///< Of this instance.
  core::TimePoint m_RecordedAt{}; ///< Time of the last write; zero: none.
  std::map<std::string, std::string> m_RecordTexts; ///< Of all, by key.
  bool m_IsPollScheduled = false;
};

} // namespace yardrill::gateway

#endif
