//===-- FloorRecordKeeper.h - Pool leadership at the platform -------------===//
#ifndef YARDRILL_LIBINSTANCE_FLOORRECORDKEEPER_H
#define YARDRILL_LIBINSTANCE_FLOORRECORDKEEPER_H

#include "LibDecision/Action.h"
#include "LibDecision/Event.h"
#include "LibPlatform/KeyValueService.h"

#include <boost/asio/spawn.hpp>
#include <optional>
#include <set>

namespace yardrill::instance {

/// Reads and writes the pools' floor records. Beside each record stands a
/// `leader` key under this instance's lease: while it is there, nobody else
/// campaigns. Runs on the platform thread.
class FloorRecordKeeper {
public:
  explicit FloorRecordKeeper(platform::KeyValueService &Service)
      : m_Service(Service) {}

  /// \returns nothing when the service did not answer.
  std::optional<decision::FloorRecordRead>
  read(const core::PoolName &Pool, boost::asio::yield_context Yield);
  decision::FloorRecordWritten write(const decision::WriteFloorRecord &What,
                                     boost::asio::yield_context Yield);
  void resign(boost::asio::yield_context Yield);
  /// To be called every KeepAlivePeriod.
  void keepAlive(boost::asio::yield_context Yield);

  static constexpr std::chrono::seconds LeaseTime{9};
  static constexpr std::chrono::seconds KeepAlivePeriod{3};

private:
  platform::KeyValueService &m_Service;
  std::optional<platform::LeaseId> m_Lease;
};

} // namespace yardrill::instance

#endif
