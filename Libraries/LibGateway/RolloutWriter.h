//===-- RolloutWriter.h - Writes the status of roll-outs to the store -----===//
#ifndef YARDRILL_LIBGATEWAY_ROLLOUTWRITER_H
#define YARDRILL_LIBGATEWAY_ROLLOUTWRITER_H

#include "LibGateway/Dialect.h"
#include "LibGateway/RolloutService.h"

#include <boost/asio/io_context.hpp>

namespace yardrill::gateway {

/// Carries out the writes that RolloutService requests; owned by Gateway.
class RolloutWriter {
public:
  RolloutWriter(boost::asio::io_context &Context,
                platform::KeyValueService &Store, const Dialect &Wire)
      : m_Context(Context), m_Store(Store), m_Wire(Wire) {}

  /// Starts to write the status that operators read and the record of the
  /// roll-out, in one transaction. The outcome is logged.
  void write(const RolloutWrite &Write);

private:
  boost::asio::io_context &m_Context;
  platform::KeyValueService &m_Store;
  const Dialect &m_Wire;
};

} // namespace yardrill::gateway

#endif
