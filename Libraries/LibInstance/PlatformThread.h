//===-- PlatformThread.h - The thread that talks to the platform
//------------===//
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

struct PlatformHooks {
  std::function<void(decision::Event)> m_Push;
  /// The peer addresses of all listed instances that are not leaving.
  std::function<void(std::vector<config::Endpoint>)> m_OnSchedulersListed;
};

struct PublishRequest {
  std::string m_Text;
  core::ConfigurationVersion m_BaseVersion; ///< The version it was made from.
  std::string m_ChangeId; ///< The publisher's id for this change.
};

class PlatformThread {
public:
  PlatformThread(const config::InstanceSettings &Settings,
                 decision::InstanceRef Self, ActiveConfiguration &Configuration,
                 metrics::MetricsRegistry &Metrics, PlatformHooks Hooks);
  ~PlatformThread();

  void start();
  void stop() { m_Thread.stop(); }
  /// Takes Claim, ReadThresholdRecord, WriteThresholdRecord and
  /// ResignLeadership.
  void push(const decision::Action &What);

  /// Makes a configuration the accepted one. Waits; thread-safe.
  /// \returns its version.
  /// \throws config::DocumentError, or core::Error of kind Policy (the
  /// program is wrong), Conflict (another
  /// version stands), Unavailable (nothing was done) or OutcomeUnknown.
  core::ConfigurationVersion publish(const PublishRequest &Request);

private:
  void handleAction(const decision::Action &What);
  void spawn(std::function<void(boost::asio::yield_context)> Run);
  void watchConfiguration(boost::asio::yield_context Yield);
  void watchInstances(boost::asio::yield_context Yield);
  void reportInstanceChanges();
  core::ConfigurationVersion publishToStore(const PublishRequest &Request,
                                            boost::asio::yield_context Yield);
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
