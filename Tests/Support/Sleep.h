//===-- Sleep.h - Pause of a coroutine ------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_SLEEP_H
#define YARDRILL_TESTS_SUPPORT_SLEEP_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace yardrill::tests {

/// Suspends the coroutine for \p Time.
inline void sleepFor(boost::asio::io_context &Context,
                     std::chrono::milliseconds Time,
                     boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer(Context, Time);
  boost::system::error_code Ignored;
  Timer.async_wait(Yield[Ignored]);
}

} // namespace yardrill::tests

#endif
