//===-- QuarantineService.h - Quarantine shared by all instances ----------===//
#ifndef YARDRILL_LIBGATEWAY_QUARANTINESERVICE_H
#define YARDRILL_LIBGATEWAY_QUARANTINESERVICE_H

#include "LibConfig/Endpoint.h"
#include "LibGateway/StoreRecord.h"
#include "LibPeer/PeerMessage.h"
#include "LibQuarantine/Gossip.h"
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

  /// Records that \p Which exited while it ran a request with \p Content.
  void noteTargetExit(const routing::Target &Exited,
                      const quarantine::ContentDigest &Content);
  /// Records that a target responded to a request with \p Content in full.
  void noteSuccess(const quarantine::ContentDigest &Content);
  /// Whether requests with \p Content must not be sent to any target.
  bool isQuarantined(const quarantine::ContentDigest &Content) const {
    return m_Gossip.table().isQuarantined(Content);
  }
  /// Whether the exits of at least two targets incriminate \p Content, see
  /// quarantine::QuarantineTable::IncarnationsToSuspect.
  bool isSuspect(const quarantine::ContentDigest &Content) const {
    return m_Gossip.table().isSuspect(Content);
  }
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
  StoreRecord m_Record;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
