//===-- QuarantineService.h - Keeps requests away that end targets --------===//
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

struct QuarantineHooks {
  std::function<void(const config::Endpoint &, const peer::PeerBody &)> m_Send;
  /// Peer addresses of all other instances.
  std::function<std::vector<config::Endpoint>()> m_Others;
  /// Whether it is this instance's to write to the store.
  std::function<bool()> m_IsRecordWriter;
};

/// The quarantine's member of this process, with its messages, its entry in the
/// store and its logs.
class QuarantineService {
public:
  /// The name of the store's record.
  static const char RecordName[];

  QuarantineService(boost::asio::io_context &Context,
                    platform::KeyValueService &Store, QuarantineHooks Hooks);

  /// A target ended while a request with that content was under way there.
  void noteTargetExit(const routing::Target &Which,
                      const quarantine::ContentDigest &Content);
  /// A target answered it whole.
  void noteSuccess(const quarantine::ContentDigest &Content);
  /// Whether it must not be sent to any target.
  bool isQuarantined(const quarantine::ContentDigest &Content) const {
    return m_Gossip.table().isQuarantined(Content);
  }
  /// Whether more than one target ended under it.
  bool isSuspect(const quarantine::ContentDigest &Content) const {
    return m_Gossip.table().isSuspect(Content);
  }
  const quarantine::QuarantineTable &table() const { return m_Gossip.table(); }

  /// Takes a message of another instance.
  void handle(const peer::PeerMessage &Message);
  bool isRecordKey(const std::string &Key) const {
    return m_Record.isRecordKey(Key);
  }
  /// Takes in what the store says.
  void applyEntry(const platform::Entry &Change);
  /// Sends and writes what is due. To be called a few times a second.
  void upkeep(core::TimePoint Now);

private:
  quarantine::GossipHooks gossipHooks();
  void sendTo(const std::vector<quarantine::Observation> &Observations,
              const std::vector<config::Endpoint> &To);
  void sendToSample(const std::vector<quarantine::Observation> &Observations);

  QuarantineHooks m_Hooks;
  quarantine::Gossip m_Gossip;
  StoreRecord m_Record;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
