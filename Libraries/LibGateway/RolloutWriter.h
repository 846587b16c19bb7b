//===-- RolloutWriter.h - Writes what became of a roll-out ----------------===//
#ifndef YARDRILL_LIBGATEWAY_ROLLOUTWRITER_H
#define YARDRILL_LIBGATEWAY_ROLLOUTWRITER_H

#include "LibGateway/Dialect.h"
#include "LibGateway/RolloutService.h"

#include <boost/asio/io_context.hpp>

namespace yardrill::gateway {

class RolloutWriter {
public:
  RolloutWriter(boost::asio::io_context &Context,
                platform::KeyValueService &Store, const Dialect &Wire)
      : m_Context(Context), m_Store(Store), m_Wire(Wire) {}

  /// Puts what operators read and the record of the roll-out, both or neither,
  /// in a coroutine of its own. Says in the log whether it was written.
  void write(const RolloutWrite &What);

private:
  boost::asio::io_context &m_Context;
  platform::KeyValueService &m_Store;
  const Dialect &m_Wire;
};

} // namespace yardrill::gateway

#endif
