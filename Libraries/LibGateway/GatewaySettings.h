//===-- GatewaySettings.h - What one instance of the gateway is told ------===//
#ifndef YARDRILL_LIBGATEWAY_GATEWAYSETTINGS_H
#define YARDRILL_LIBGATEWAY_GATEWAYSETTINGS_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibRollout/Coordinator.h"
#include "LibRouting/Dispatcher.h"
#include "LibRouting/QuotaOwner.h"
#include "LibRouting/RetryBudget.h"

#include <optional>
#include <string>
#include <vector>

namespace yardrill::gateway {

struct GatewaySettings {
  core::InstanceName m_Name;
  core::DataHallName m_DataHall;
  config::Endpoint m_CallerAddress;
  config::Endpoint m_ReadinessAddress;
  config::Endpoint m_PeerAddress; ///< UDP and TCP.
  std::optional<config::Endpoint> m_MetricsAddress;
  /// Peer addresses of some instances, perhaps out of date.
  std::vector<config::Endpoint> m_Seeds;
  config::Endpoint m_StoreAddress;
  /// Of this instance's link: 10 Mbit/s, the smallest machines', unless told.
  double m_LinkBytesPerSecond = 1.25e6;
  std::string m_PeerKey; ///< Tells this deployment's peers from others'.
  /// The whole deployment starts for the first time: no quota was used yet.
  bool m_IsFirstStart = false;
  /// Time between the request to stop and the kill.
  core::Duration m_StopGrace = std::chrono::seconds(8);
  /// For one pool, summed over all instances.
  routing::RetryLimits m_Retries;
  /// Nothing, unless told.
  routing::QuotaTolerance m_QuotaTolerance;
  /// Of requests to a version that may be bad.
  rollout::ExposureLimits m_Exposure;
  std::size_t m_MaxConnections = 1024; ///< Of callers.
  /// Instances of a large fleet that share their targets; 0: by the number of
  /// targets.
  std::size_t m_GroupSize = 0;
  routing::PlacementPolicy m_Placement =
      routing::PlacementPolicy::LeastPredictedWait;
};

} // namespace yardrill::gateway

#endif
