#include "LibCore/TimerService.h"

#include "LibCore/Log.h"

namespace yardrill::core {

/// Calls a subscriber. One that fails must not end the calls of others, nor its
/// own: heartbeats depend on them.
static void callSafely(const TimerService::Subscriber &Notify) {
  try {
    Notify(steadyNow());
  } catch (const std::exception &Failure) {
    LogLine("timer-call-failed", LogLevel::Error).add("reason", Failure.what());
  }
}

struct SteadyTimerService::Subscription {
  Subscription(boost::asio::io_context &Context, Duration Period,
               Subscriber Notify)
      : m_Timer(Context), m_Period(Period), m_Notify(std::move(Notify)) {}

  core::Timer m_Timer;
  Duration m_Period;
  Subscriber m_Notify;
};

SteadyTimerService::SteadyTimerService(boost::asio::io_context &Context)
    : m_Context(Context) {}

SteadyTimerService::~SteadyTimerService() {
  for (auto &Sub : m_Subscriptions)
    Sub->m_Timer.cancel();
  for (const auto &Call : m_Calls)
    Call->cancel();
}

void SteadyTimerService::subscribe(Duration Period, Subscriber Notify) {
  auto Sub =
      std::make_shared<Subscription>(m_Context, Period, std::move(Notify));
  m_Subscriptions.push_back(Sub);
  arm(Sub);
}

void SteadyTimerService::callAfter(Duration Delay, Subscriber Notify) {
  auto Timer = std::make_shared<core::Timer>(m_Context, Delay);
  m_Calls.insert(Timer);
  Timer->async_wait([this, Timer, Notify = std::move(Notify)](
                        boost::system::error_code Failure) {
    // Cancelled: the service may be destroyed.
    if (Failure)
      return;
    m_Calls.erase(Timer);
    callSafely(Notify);
  });
}

void SteadyTimerService::arm(const std::shared_ptr<Subscription> &Sub) {
  Sub->m_Timer.expires_after(Sub->m_Period);
  Sub->m_Timer.async_wait([Sub](boost::system::error_code Failure) {
    if (Failure)
      return;
    callSafely(Sub->m_Notify);
    arm(Sub);
  });
}

} // namespace yardrill::core
