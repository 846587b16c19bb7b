//===-- Timer.h - Asio timer on BootClock ---------------------------------===//
#ifndef YARDRILL_LIBCORE_TIMER_H
#define YARDRILL_LIBCORE_TIMER_H

#include "LibCore/Time.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace yardrill::core {

/// Asio timer on BootClock. The kernel timers behind it stop while the machine
/// is suspended: a wait that expires meanwhile ends with the event loop's next
/// event, and late if there is no other event.
using Timer = boost::asio::basic_waitable_timer<BootClock>;

} // namespace yardrill::core

#endif
