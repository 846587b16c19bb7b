//===-- Instance.h - One yardrill instance and its threads ----------------===//
#ifndef YARDRILL_LIBINSTANCE_INSTANCE_H
#define YARDRILL_LIBINSTANCE_INSTANCE_H

#include "LibConfig/InstanceSettings.h"
#include "LibInstance/ActiveConfiguration.h"
#include "LibInstance/DecisionThread.h"
#include "LibInstance/OperatorServer.h"
#include "LibInstance/PeerThread.h"
#include "LibInstance/PlatformThread.h"
#include "LibInstance/TrafficThread.h"
#include "LibMetrics/MetricsRegistry.h"

#include <atomic>
#include <memory>

namespace yardrill::instance {

/// One process of yardrill: the threads for traffic, decisions, the platform,
/// peers and the operator endpoint, which exchange events and actions through
/// bounded queues.
class Instance {
public:
  ~Instance();

  void start();
  /// Stops accepting requests after the drain delay, completes those in
  /// progress however long they take, and resigns leadership (brief: "A planned
  /// stop cuts no request in progress"). Once \p IsStopForced becomes true,
  /// open requests are broken off, each with a response.
  void drain(const std::atomic<bool> &IsStopForced);

private:
  friend class InstanceBuilder;
  explicit Instance(config::InstanceSettings Settings);

  void createComponents();
  /// Passes an action of the decision core to the thread that carries it out.
  void routeAction(const decision::Action &CoreAction);
  OperatorResponse handleOperator(const OperatorRequest &Request);
  /// Sets the gauges that are computed only when metrics are requested.
  void updateGauges();
  OperatorResponse publish(const OperatorRequest &Request);
  OperatorResponse readConfiguration() const;
  std::string statusJson() const;

  config::InstanceSettings m_Settings;
  decision::InstanceRef m_Self;
  metrics::MetricsRegistry m_Metrics;
  ActiveConfiguration m_Configuration;
  std::unique_ptr<DecisionThread> m_Decision;
  std::unique_ptr<TrafficThread> m_Traffic;
  std::unique_ptr<PlatformThread> m_Platform;
  std::unique_ptr<PeerThread> m_Peers;
  std::unique_ptr<OperatorServer> m_OperatorServer;
  std::atomic<bool> m_IsStopping{false};
};

/// Builds an instance. All addresses are bound before any thread starts, so
/// that a failure leaves no partly started process.
class InstanceBuilder {
public:
  InstanceBuilder &settings(config::InstanceSettings Settings);
  /// \throws core::Error of kind Settings or AddressInUse.
  std::unique_ptr<Instance> build();

private:
  config::InstanceSettings m_Settings;
};

} // namespace yardrill::instance

#endif
