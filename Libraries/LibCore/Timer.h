//===-- Timer.h - Waits that end by BootClock -----------------------------===//
#ifndef YARDRILL_LIBCORE_TIMER_H
#define YARDRILL_LIBCORE_TIMER_H

#include "LibCore/Time.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace yardrill::core {

/// After a suspension of the machine, a wait that is over ends with the loop's
/// next event. The kernel's own timers stand still meanwhile, so that a loop
/// that waits for nothing else would wake late.
using Timer = boost::asio::basic_waitable_timer<BootClock>;

} // namespace yardrill::core

#endif
