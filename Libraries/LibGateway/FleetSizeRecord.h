//===-- FleetSizeRecord.h - How many instances share the quotas -----------===//
//
// Kept in the store for processes that all start together and have not found
// each other yet. One instance writes it, rarely: each write is paid for.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_FLEETSIZERECORD_H
#define YARDRILL_LIBGATEWAY_FLEETSIZERECORD_H

#include "LibCore/Time.h"
#include "LibPlatform/KeyValueService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstddef>

namespace yardrill::gateway {

class FleetSizeRecord {
public:
  FleetSizeRecord(boost::asio::io_context &Context,
                  platform::KeyValueService &Store)
      : m_Context(Context), m_Store(Store) {}

  static bool isItsKey(const std::string &Key);
  /// Takes in what the store says. \returns the size; 0: none, or unreadable.
  std::size_t read(const platform::Entry &Change);
  /// Writes \p Size, unless a write was tried lately. A failure is logged and
  /// tried again later; until then a restart counts on the older size.
  void write(std::size_t Size, core::TimePoint Now);

private:
  void writeNow(std::size_t Size, boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  platform::KeyValueService &m_Store;
  platform::Revision m_Revision; ///< Of its entry; 0: none.
  core::TimePoint m_TriedAt{};
};

} // namespace yardrill::gateway

#endif
