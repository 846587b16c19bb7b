#include "LibInstance/PlatformThread.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibPlatform/Backoff.h"
#include "LibPolicy/PolicyProgram.h"

#include <boost/asio.hpp>

namespace yardrill::instance {

namespace asio = boost::asio;
using core::Error;
using core::ErrorKind;
using platform::CallClass;

static const char ConfigurationKey[] = "/yardrill/configuration";
static const std::chrono::milliseconds InitialBackoff(100);
static const std::chrono::seconds MaxBackoff(5);
static const std::chrono::seconds MetricsPeriod(1);
static const int MaxResolveAttempts = 5;
static const std::chrono::seconds PublishTimeout(20);

static platform::StoreSettings
toStoreSettings(const config::PlatformSettings &Settings) {
  platform::StoreSettings Out;
  for (const config::Endpoint &Address : Settings.m_Addresses)
    Out.m_Addresses.push_back(Address.toTcp());
  Out.m_CallTimeout = Settings.m_CallTimeout;
  Out.m_CallsPerSecond = Settings.m_CallsPerSecond;
  Out.m_CallBurst = Settings.m_CallBurst;
  Out.m_MaxWaitingCalls = Settings.m_MaxWaitingCalls;
  return Out;
}

PlatformThread::PlatformThread(const config::InstanceSettings &Settings,
                               decision::InstanceRef Self,
                               ActiveConfiguration &Configuration,
                               metrics::MetricsRegistry &Metrics,
                               PlatformHooks Hooks)
    : m_Thread("platform"), m_Timers(m_Thread.context()),
      m_Configuration(Configuration), m_Metrics(Metrics),
      m_Hooks(std::move(Hooks)),
      m_Service(m_Thread.context(), toStoreSettings(Settings.m_Platform)),
      m_Claims(m_Service, std::move(Self), Settings.m_Identities.m_Retention),
      m_ThresholdRecords(m_Service),
      m_Actions(Settings.m_QueueCapacity, m_Thread.makeWaker([this] {
        m_Actions.drain([this](const decision::Action &CoreAction) {
          handleAction(CoreAction);
        });
      })) {}

PlatformThread::~PlatformThread() { stop(); }

void PlatformThread::start() {
  spawn([this](asio::yield_context Yield) { watchConfiguration(Yield); });
  spawn([this](asio::yield_context Yield) { watchInstances(Yield); });
  m_Timers.subscribe(ThresholdRecordService::KeepAlivePeriod, [this](auto) {
    spawn([this](asio::yield_context Yield) {
      m_ThresholdRecords.keepAlive(Yield);
    });
  });
  m_Timers.subscribe(MetricsPeriod, [this](auto) { updateMetrics(); });
  m_Thread.start();
}

void PlatformThread::spawn(std::function<void(asio::yield_context)> Run) {
  asio::spawn(m_Thread.context(), std::move(Run), asio::detached);
}

void PlatformThread::push(const decision::Action &CoreAction) {
  m_Actions.push(CoreAction);
}

void PlatformThread::handleAction(const decision::Action &CoreAction) {
  if (const auto *Operation = std::get_if<decision::Claim>(&CoreAction))
    return spawn([this, Operation = *Operation](asio::yield_context Yield) {
      m_Hooks.m_Push(m_Claims.claim(Operation, Yield));
    });
  if (const auto *Operation =
          std::get_if<decision::ReadThresholdRecord>(&CoreAction))
    return spawn([this, Operation = *Operation](asio::yield_context Yield) {
      if (auto Read = m_ThresholdRecords.read(Operation.m_Pool, Yield))
        m_Hooks.m_Push(*Read);
    });
  if (const auto *Operation =
          std::get_if<decision::WriteThresholdRecord>(&CoreAction))
    return spawn([this, Operation = *Operation](asio::yield_context Yield) {
      m_Hooks.m_Push(m_ThresholdRecords.write(Operation, Yield));
    });
  if (std::holds_alternative<decision::ResignLeadership>(CoreAction))
    spawn([this](asio::yield_context Yield) {
      m_ThresholdRecords.resign(Yield);
    });
}

void PlatformThread::sleepFor(core::Duration Length,
                              asio::yield_context Yield) {
  core::Timer Timer(m_Thread.context(), Length);
  boost::system::error_code Ignored;
  Timer.async_wait(Yield[Ignored]);
}

void PlatformThread::updateMetrics() {
  const auto &Counters = m_Service.counters();
  m_Metrics.setGauge("yardrill_platform_calls",
                     static_cast<double>(Counters.m_Calls));
  m_Metrics.setGauge("yardrill_platform_call_failures",
                     static_cast<double>(Counters.m_Failures));
  m_Metrics.setGauge("yardrill_platform_budget_refusals",
                     static_cast<double>(Counters.m_RateLimitedCalls));
}

//===----------------------------------------------------------------------===//
// Watches
//===----------------------------------------------------------------------===//

static void logWatchLost(const char *Watch, const std::exception &Failure) {
  core::LogLine("platform-watch-lost", core::LogLevel::Warning)
      .add("watch", Watch)
      .add("reason", Failure.what());
}

void PlatformThread::watchConfiguration(asio::yield_context Yield) {
  platform::Backoff RetryDelays(InitialBackoff, MaxBackoff, core::randomBits());
  auto Offer = [this](const platform::Entry &Item) {
    try {
      if (Item.m_Key == ConfigurationKey && !Item.m_IsDeleted)
        m_Configuration.offer(ConfigurationEnvelope::parse(Item.m_Value));
    } catch (const Error &Failure) {
      core::LogLine("configuration-unreadable", core::LogLevel::Error)
          .add("reason", Failure.what());
    }
  };
  while (true) {
    try {
      auto Current =
          m_Service.read(ConfigurationKey, CallClass::Control, Yield);
      if (Current)
        Offer(*Current);
      RetryDelays.reset();
      m_Service.watch(
          ConfigurationKey, m_Service.lastRevision(),
          [&](const std::vector<platform::Entry> &Changes) {
            for (const platform::Entry &Item : Changes)
              Offer(Item);
            return true;
          },
          Yield);
    } catch (const std::exception &Failure) {
      logWatchLost("configuration", Failure);
    }
    sleepFor(RetryDelays.next(), Yield);
  }
}

void PlatformThread::watchInstances(asio::yield_context Yield) {
  platform::Backoff RetryDelays(InitialBackoff, MaxBackoff, core::randomBits());
  while (true) {
    try {
      m_InstanceList.reset(
          m_Service.readPrefix(InstanceListPrefix, CallClass::Control, Yield));
      reportInstanceChanges();
      RetryDelays.reset();
      m_Service.watch(
          InstanceListPrefix, m_Service.lastRevision(),
          [&](const std::vector<platform::Entry> &Changes) {
            m_InstanceList.apply(Changes);
            reportInstanceChanges();
            return true;
          },
          Yield);
    } catch (const std::exception &Failure) {
      logWatchLost("instances", Failure);
    }
    sleepFor(RetryDelays.next(), Yield);
  }
}

void PlatformThread::reportInstanceChanges() {
  for (const auto &[Key, Listed] : m_InstanceList.all()) {
    if (Listed.m_Kind != ListedKind::Target)
      continue;
    core::TargetName Name(Listed.m_Name);
    bool &WasLeaving = m_IsTargetLeaving[Name];
    if (WasLeaving == Listed.m_IsLeaving)
      continue;
    WasLeaving = Listed.m_IsLeaving;
    m_Hooks.m_Push(decision::TargetStateChanged{Name, Listed.m_IsLeaving});
  }
  m_Hooks.m_OnSchedulersListed(m_InstanceList.schedulerAddresses());
}

//===----------------------------------------------------------------------===//
// Publishing
//===----------------------------------------------------------------------===//

core::ConfigurationVersion
PlatformThread::publish(const PublishRequest &Request) {
  // Validated before it is written, so that instances can apply what is stored.
  auto Parsed = config::FleetConfiguration::parse(
      Request.m_Text, "configuration", Request.m_BaseVersion);
  if (!Parsed->policy().empty())
    policy::PolicyProgram::check(Parsed->policy());
  // Shared: this thread may stop waiting before the result is set.
  auto Promise = std::make_shared<std::promise<core::ConfigurationVersion>>();
  auto Result = Promise->get_future();
  asio::post(m_Thread.context(), [this, Promise, Request] {
    spawn([this, Promise, Request](asio::yield_context Yield) {
      try {
        Promise->set_value(publishToStore(Request, Yield));
      } catch (const std::exception &) {
        Promise->set_exception(std::current_exception());
      }
    });
  });
  if (Result.wait_for(PublishTimeout) != std::future_status::ready)
    throw Error(ErrorKind::OutcomeUnknown,
                "no result yet: publish again with the change id " +
                    Request.m_ChangeId);
  return Result.get();
}

static Error conflict(const ConfigurationEnvelope &Stored) {
  return Error(ErrorKind::Conflict,
               "version " + std::to_string(Stored.m_Version.value()) +
                   " stands");
}

core::ConfigurationVersion
PlatformThread::publishToStore(const PublishRequest &Request,
                               asio::yield_context Yield) {
  ConfigurationEnvelope Stored;
  platform::CompareAndSwap Swap;
  Swap.m_Key = ConfigurationKey;
  auto Current = m_Service.read(ConfigurationKey, CallClass::Control, Yield);
  if (Current) {
    Stored = ConfigurationEnvelope::parse(Current->m_Value);
    Swap.m_Expected = Current->m_ModRevision;
  }
  if (Stored.hasChange(Request.m_ChangeId))
    return Stored.m_Version;
  // A store restored to an earlier state must not revert the configuration.
  if (Stored.m_Version < m_Configuration.version())
    throw conflict(m_Configuration.envelope());
  if (Stored.m_Version != Request.m_BaseVersion)
    throw conflict(Stored);
  ConfigurationEnvelope Next;
  Next.m_Version = core::ConfigurationVersion(Stored.m_Version.value() + 1);
  Next.m_ChangeIds = Stored.m_ChangeIds;
  Next.m_ChangeIds.push_back(Request.m_ChangeId);
  Next.m_Text = Request.m_Text;
  Swap.m_Puts.push_back({ConfigurationKey, Next.toJson(), std::nullopt});
  try {
    auto Result = m_Service.compareAndSwap(Swap, CallClass::Control, Yield);
    if (!Result.m_IsSwapped)
      return resolvePublication(Request, Yield);
  } catch (const Error &Failure) {
    if (Failure.kind() != ErrorKind::OutcomeUnknown)
      throw;
    // The response was lost: the write may have taken effect, or may later.
    return resolvePublication(Request, Yield);
  }
  m_Configuration.offer(Next);
  return Next.m_Version;
}

core::ConfigurationVersion
PlatformThread::resolvePublication(const PublishRequest &Request,
                                   asio::yield_context Yield) {
  for (int Attempt = 0; Attempt < MaxResolveAttempts; ++Attempt) {
    try {
      auto Current =
          m_Service.read(ConfigurationKey, CallClass::Control, Yield);
      ConfigurationEnvelope Stored;
      if (Current)
        Stored = ConfigurationEnvelope::parse(Current->m_Value);
      if (Stored.hasChange(Request.m_ChangeId)) {
        m_Configuration.offer(Stored);
        return Stored.m_Version;
      }
      // Another change replaced the base version: this one can't succeed now.
      if (Stored.m_Version != Request.m_BaseVersion)
        throw conflict(Stored);
    } catch (const Error &Failure) {
      if (Failure.kind() == ErrorKind::Conflict)
        throw;
    }
    sleepFor(InitialBackoff, Yield);
  }
  throw Error(ErrorKind::OutcomeUnknown,
              "write not confirmed: publish again with the change id " +
                  Request.m_ChangeId);
}

} // namespace yardrill::instance
