//===-- ThresholdRecordService.h - Pool leadership at the platform
//-------------===//
#ifndef YARDRILL_LIBINSTANCE_THRESHOLDRECORDSERVICE_H
#define YARDRILL_LIBINSTANCE_THRESHOLDRECORDSERVICE_H

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
class ThresholdRecordService {
public:
  explicit ThresholdRecordService(platform::KeyValueService &Service)
      : m_Service(Service) {}

  /// \returns nothing when the service did not answer.
  std::optional<decision::ThresholdRecordRead>
  read(const core::PoolName &Pool, boost::asio::yield_context Yield);
  decision::ThresholdRecordWritten
  write(const decision::WriteThresholdRecord &What,
        boost::asio::yield_context Yield);
  void resign(boost::asio::yield_context Yield);
  /// To be called every KeepAlivePeriod.
  void keepAlive(boost::asio::yield_context Yield);

  static constexpr std::chrono::seconds LeaseDuration{9};
  static constexpr std::chrono::seconds KeepAlivePeriod{3};

private:
  platform::KeyValueService &m_Service;
  std::optional<platform::LeaseId> m_Lease;
};

} // namespace yardrill::instance

#endif
