//===-- ThresholdRecordService.h - Leadership of pools --------------------===//
#ifndef YARDRILL_LIBINSTANCE_THRESHOLDRECORDSERVICE_H
#define YARDRILL_LIBINSTANCE_THRESHOLDRECORDSERVICE_H

#include "LibDecision/Action.h"
#include "LibDecision/Event.h"
#include "LibPlatform/KeyValueService.h"

#include <boost/asio/spawn.hpp>
#include <optional>
#include <set>

namespace yardrill::instance {

/// Reads and writes the threshold records of pools in the platform's key-value
/// service. Beside each record the leader has a `leader` key under its lease;
/// other instances don't campaign while that key exists. Runs on the platform
/// thread.
class ThresholdRecordService {
public:
  explicit ThresholdRecordService(platform::KeyValueService &Service)
      : m_Service(Service) {}

  /// Returns none, and logs why, when the service fails or the record is
  /// malformed.
  std::optional<decision::ThresholdRecordRead>
  read(const core::PoolName &Pool, boost::asio::yield_context Yield);
  /// Writes the record and the `leader` key if the record's revision is the
  /// expected one. Logs failures and reports them as not written, although a
  /// write of unknown outcome may still take effect.
  decision::ThresholdRecordWritten
  write(const decision::WriteThresholdRecord &Action,
        boost::asio::yield_context Yield);
  /// Revokes the lease, which removes the `leader` keys of this instance in all
  /// pools.
  void resign(boost::asio::yield_context Yield);
  /// Renews the lease; called every KeepAlivePeriod.
  void keepAlive(boost::asio::yield_context Yield);

  static constexpr std::chrono::seconds LeaseDuration{9};
  static constexpr std::chrono::seconds KeepAlivePeriod{3};

private:
  platform::KeyValueService &m_Service;
  std::optional<platform::LeaseId> m_Lease;
};

} // namespace yardrill::instance

#endif
