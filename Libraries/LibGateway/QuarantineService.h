//===-- QuarantineService.h - Quarantine shared by all instances ----------===//
#ifndef YARDRILL_LIBGATEWAY_QUARANTINESERVICE_H
#define YARDRILL_LIBGATEWAY_QUARANTINESERVICE_H

#include "LibConfig/Endpoint.h"
#include "LibGateway/StoreRecord.h"
#include "LibPeer/PeerMessage.h"
#include "LibQuarantine/Gossip.h"
#include "LibQuarantine/TrialSchedule.h"
#include "LibRouting/Target.h"

#include <functional>
#include <random>
#include <vector>

namespace yardrill::gateway {

/// Callbacks through which QuarantineService uses the gateway.
struct QuarantineHooks {
  /// Sends a message to another instance; it can be lost.
  std::function<void(const config::Endpoint &, const peer::PeerBody &)> m_Send;
  /// Returns the peer addresses of all other instances.
  std::function<std::vector<config::Endpoint>()> m_Others;
  /// Whether this instance is the one of the fleet that tries a quarantined
  /// content again after a while.
  std::function<bool(const quarantine::ContentDigest &)> m_MayTryAgain;
  /// Whether this instance writes the record in the store.
  std::function<bool()> m_IsRecordWriter;
};

/// Shares quarantine::Gossip's observations with the other instances and the
/// store, and logs targets that exit and contents that are quarantined; owned
/// by Gateway.
class QuarantineService {
public:
  /// Name of the record in the store.
  static const char RecordName[];

  QuarantineService(boost::asio::io_context &Context,
                    platform::KeyValueService &Store, QuarantineHooks Hooks);

  /// Contents of one request: the whole, and the shared parts of its prompt.
  using Contents = std::vector<quarantine::ContentDigest>;

  /// Records that a target exited while it ran requests with these contents.
  void noteTargetExit(const routing::Target &Exited, const Contents &Of);
  /// Records that a target responded to a request with these contents in full.
  void noteSuccess(const Contents &Of);
  /// Whether requests with one of these contents must not be sent to any
  /// target.
  bool isQuarantined(const Contents &Of) const;
  /// Whether the exits of at least two targets incriminate one of these
  /// contents, see quarantine::QuarantineTable::IncarnationsToSuspect.
  bool isSuspect(const Contents &Of) const;
  /// Whether a request with quarantined contents may be sent all the same, to
  /// find out whether they are wrongly quarantined. If so, no other one may for
  /// a while.
  bool tryBeginTrial(const Contents &Of, core::TimePoint Now);
  const quarantine::QuarantineTable &table() const { return m_Gossip.table(); }

  /// Merges observations from another instance; ignores other messages.
  void handle(const peer::PeerMessage &Message);
  bool isRecordKey(const std::string &Key) const {
    return m_Record.isRecordKey(Key);
  }
  /// Applies a change of the record in the store.
  void applyEntry(const platform::Entry &Change);
  /// Sends and writes what is due; must be called a few times a second.
  void upkeep(core::TimePoint Now);

private:
  quarantine::GossipHooks gossipHooks();
  /// Sends \p Observations in as many datagrams as needed.
  void sendTo(const std::vector<quarantine::Observation> &Observations,
              const std::vector<config::Endpoint> &To);
  /// Sends \p Observations to GossipFanout other instances chosen at random.
  void sendToSample(const std::vector<quarantine::Observation> &Observations);

  QuarantineHooks m_Hooks;
  quarantine::Gossip m_Gossip;
  quarantine::TrialSchedule m_Trials;
  StoreRecord m_Record;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
