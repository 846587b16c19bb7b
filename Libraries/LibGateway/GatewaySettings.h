//===-- GatewaySettings.h - Settings of one gateway instance --------------===//
#ifndef YARDRILL_LIBGATEWAY_GATEWAYSETTINGS_H
#define YARDRILL_LIBGATEWAY_GATEWAYSETTINGS_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibRollout/Coordinator.h"
#include "LibRouting/Dispatcher.h"
#include "LibRouting/OverloadSettings.h"
#include "LibRouting/QuotaOwner.h"
#include "LibRouting/RetryBudget.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yardrill::gateway {

/// Settings of one instance, which platform/DeploymentSettings reads.
struct GatewaySettings {
  core::InstanceName m_Name;
  core::DataHallName m_DataHall;
  /// Region of each data hall.
  std::map<core::DataHallName, core::RegionName> m_Regions;
  config::Endpoint m_CallerAddress;
  config::Endpoint m_ReadinessAddress;
  config::Endpoint m_PeerAddress; ///< Bound for UDP and TCP.
  std::optional<config::Endpoint> m_MetricsAddress;
  /// Peer addresses of some instances; may be out of date.
  std::vector<config::Endpoint> m_Seeds;
  config::Endpoint m_StoreAddress;
  /// Bandwidth of this instance's link; by default that of the smallest
  /// machines, 10 Mbit/s.
  double m_LinkBytesPerSecond = 1.25e6;
  std::string m_PeerKey; ///< Signs messages between this deployment's peers.
  /// Whether the whole deployment starts for the first time, so that no quota
  /// has been used yet.
  bool m_IsFirstStart = false;
  /// Time between the request to stop and the kill.
  core::Duration m_StopGrace = std::chrono::seconds(8);
  /// Limits for each pool, summed over all instances.
  routing::RetryLimits m_Retries;
  /// Tokens allowed above the accounts' limits; none by default.
  routing::QuotaTolerance m_QuotaTolerance;
  /// Limits of the requests that a bad version may get during a rollout.
  rollout::ExposureLimits m_Exposure;
  std::size_t m_MaxConnections = 1024; ///< From callers.
  /// Bytes of the bodies of all requests that are held at a time.
  std::size_t m_MaxBodyBytes = 64UL * 1024 * 1024;
  /// Maximum number of instances in a group of a large fleet, which share a
  /// subset of the targets; 0: derived from the numbers of instances and
  /// targets.
  std::size_t m_GroupSize = 0;
  routing::PlacementPolicy m_Placement =
      routing::PlacementPolicy::LeastPredictedWait;
  routing::OverloadSettings m_Overload;
};

} // namespace yardrill::gateway

#endif
