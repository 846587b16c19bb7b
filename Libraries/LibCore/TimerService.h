//===-- TimerService.h - Time that parts subscribe to ---------------------===//
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

/// Where parts learn the time and ask to be called; a test gives its own.
class TimerService {
public:
  using Subscriber = std::function<void(TimePoint)>;

  virtual ~TimerService() = default;
  virtual TimePoint now() const = 0;
  /// Calls \p Notify every \p Period until the service ends.
  virtual void subscribe(Duration Period, Subscriber Notify) = 0;
  /// Calls \p Notify once, after \p Delay, unless the service ends before.
  virtual void callAfter(Duration Delay, Subscriber Notify) = 0;
};

/// Real time, on the thread that runs \p Context.
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
  /// Of calls that are to come; each removes itself.
  std::set<std::shared_ptr<core::Timer>> m_Calls;
};

} // namespace yardrill::core

#endif
