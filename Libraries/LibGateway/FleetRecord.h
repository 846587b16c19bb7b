//===-- FleetRecord.h - The list of instances, as the store keeps it ------===//
//
// Whoever reads it knows which instances keep which quotas, also a process that
// has just started and has heard of nobody. One instance writes it, rarely:
// each write is paid for.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_FLEETRECORD_H
#define YARDRILL_LIBGATEWAY_FLEETRECORD_H

#include "LibCore/Time.h"
#include "LibPlatform/KeyValueService.h"
#include "LibRouting/FleetShare.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

namespace yardrill::gateway {

/// The data hall of each instance, by its peer address.
using FleetList = routing::FleetShare::Fleet;

class FleetRecord {
public:
  FleetRecord(boost::asio::io_context &Context,
              platform::KeyValueService &Store)
      : m_Context(Context), m_Store(Store) {}

  static bool isItsKey(const std::string &Key);
  /// Takes in what the store says. \returns the list; empty: none, or
  /// unreadable.
  FleetList read(const platform::Entry &Change);
  /// Writes the list, unless a write was tried lately. A failure is logged and
  /// tried again later.
  void write(const FleetList &Instances, core::TimePoint Now);

private:
  void writeNow(const FleetList &Instances, boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  platform::KeyValueService &m_Store;
  platform::Revision m_Revision; ///< Of its entry; 0: none.
  core::TimePoint m_TriedAt{};
};

} // namespace yardrill::gateway

#endif
