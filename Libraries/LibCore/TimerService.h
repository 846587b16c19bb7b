//===-- TimerService.h - Periodic and delayed calls -----------------------===//
#ifndef YARDRILL_LIBCORE_TIMERSERVICE_H
#define YARDRILL_LIBCORE_TIMERSERVICE_H

#include "LibCore/Time.h"
#include "LibCore/Timer.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace yardrill::core {

/// Clock with periodic and delayed calls; tests may implement their own. A call
/// that throws an exception is logged, and affects no other call.
class TimerService {
public:
  using Subscriber = std::function<void(TimePoint)>;

  virtual ~TimerService() = default;
  virtual TimePoint now() const = 0;
  /// Calls \p Notify every \p Period until the service is destroyed.
  virtual void subscribe(Duration Period, Subscriber Notify) = 0;
  /// Calls \p Notify once, after \p Delay, unless the service is destroyed
  /// before.
  virtual void callAfter(Duration Delay, Subscriber Notify) = 0;
};

/// TimerService on BootClock that makes its calls on the thread that runs
/// \p Context.
class SteadyTimerService final : public TimerService {
public:
  explicit SteadyTimerService(boost::asio::io_context &Context);
  ~SteadyTimerService() override;

  TimePoint now() const override { return steadyNow(); }
  void subscribe(Duration Period, Subscriber Notify) override;
  void callAfter(Duration Delay, Subscriber Notify) override;

private:
  struct Subscription;
  static void arm(const std::shared_ptr<Subscription> &Sub);

  boost::asio::io_context &m_Context;
  std::vector<std::shared_ptr<Subscription>> m_Subscriptions;
  /// Timers of pending delayed calls; each is removed before its call.
  std::set<std::shared_ptr<core::Timer>> m_Calls;
};

} // namespace yardrill::core

#endif
