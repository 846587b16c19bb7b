//===-- PlatformThread.h - Thread that calls the platform -----------------===//
#ifndef YARDRILL_LIBINSTANCE_PLATFORMTHREAD_H
#define YARDRILL_LIBINSTANCE_PLATFORMTHREAD_H

#include "LibConfig/InstanceSettings.h"
#include "LibCore/EventLoopThread.h"
#include "LibCore/MPSCQueue.h"
#include "LibCore/TimerService.h"
#include "LibDecision/Action.h"
#include "LibDecision/Event.h"
#include "LibInstance/ActiveConfiguration.h"
#include "LibInstance/ClaimService.h"
#include "LibInstance/InstanceList.h"
#include "LibInstance/ThresholdRecordService.h"
#include "LibMetrics/MetricsRegistry.h"

#include "StoreClient.h"

#include <functional>
#include <future>
#include <string>

namespace yardrill::instance {

/// Functions by which the platform thread reports to other threads.
struct PlatformHooks {
  std::function<void(decision::Event)> m_Push;
  /// Receives the peer addresses of all listed schedulers that are not leaving.
  std::function<void(std::vector<config::Endpoint>)> m_OnSchedulersListed;
};

/// A configuration to publish, from the operator endpoint.
struct PublishRequest {
  std::string m_Text;
  core::ConfigurationVersion m_BaseVersion; ///< Version that was edited.
  /// Id that the publisher chose. A repeat with the same id returns the version
  /// that the change already has.
  std::string m_ChangeId;
};

/// Event loop thread that calls the platform's key-value service: carries out
/// the decision core's claims and threshold record calls, watches the
/// configuration and the instance list, and publishes configurations.
class PlatformThread {
public:
  PlatformThread(const config::InstanceSettings &Settings,
                 decision::InstanceRef Self, ActiveConfiguration &Configuration,
                 metrics::MetricsRegistry &Metrics, PlatformHooks Hooks);
  ~PlatformThread();

  void start();
  void stop() { m_Thread.stop(); }
  /// Queues a Claim, ReadThresholdRecord, WriteThresholdRecord or
  /// ResignLeadership. Thread-safe.
  void push(const decision::Action &CoreAction);

  /// Writes a configuration to the platform and waits for the result.
  /// Thread-safe. \returns the new version.
  /// \throws config::DocumentError, or core::Error of kind Policy (invalid
  /// policy program), Conflict (the base version is not current), Refused,
  /// Unavailable or BudgetSpent (nothing was written), Configuration or
  /// Protocol (the store returned malformed data) or OutcomeUnknown.
  core::ConfigurationVersion publish(const PublishRequest &Request);

private:
  void handleAction(const decision::Action &CoreAction);
  void spawn(std::function<void(boost::asio::yield_context)> Run);
  void watchConfiguration(boost::asio::yield_context Yield);
  void watchInstances(boost::asio::yield_context Yield);
  void reportInstanceChanges();
  /// Writes the configuration if the base version is the current one.
  core::ConfigurationVersion publishToStore(const PublishRequest &Request,
                                            boost::asio::yield_context Yield);
  /// Reads the store until it shows whether an unconfirmed change was written.
  /// \throws core::Error of kind Conflict or OutcomeUnknown.
  core::ConfigurationVersion
  resolvePublication(const PublishRequest &Request,
                     boost::asio::yield_context Yield);
  void sleepFor(core::Duration Length, boost::asio::yield_context Yield);
  void updateMetrics();

  core::EventLoopThread m_Thread;
  core::SteadyTimerService m_Timers;
  ActiveConfiguration &m_Configuration;
  metrics::MetricsRegistry &m_Metrics;
  PlatformHooks m_Hooks;
  platform::StoreClient m_Service;
  ClaimService m_Claims;
  ThresholdRecordService m_ThresholdRecords;
  InstanceList m_InstanceList;
  std::map<core::TargetName, bool> m_IsTargetLeaving;
  core::MPSCQueue<decision::Action> m_Actions;
};

} // namespace yardrill::instance

#endif
