//===-- RolloutWriter.cpp - Writes the status of roll-outs ----------------===//
#include "LibGateway/RolloutWriter.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>

namespace yardrill::gateway {

namespace asio = boost::asio;
using core::Error;

void RolloutWriter::write(const RolloutWrite &Write) {
  asio::spawn(
      m_Context,
      [this, Write](asio::yield_context Yield) {
        platform::Put Status = m_Wire.write(Write.m_Pool, Write.m_Status);
        platform::Put Record{RolloutService::recordKey(Write.m_Pool),
                             Write.m_Record.toText(), std::nullopt};
        platform::CompareAndSwap Swap{
            Status.m_Key, Write.m_Expected, {Status, Record}};
        try {
          bool IsWritten =
              m_Store.compareAndSwap(Swap, platform::CallClass::Control, Yield)
                  .m_IsSwapped;
          core::LogLine("rollout-written")
              .add("pool", Write.m_Pool)
              .add("version", Write.m_Status.m_Version)
              .add("is_written", IsWritten);
        } catch (const Error &Failure) {
          core::LogLine("rollout-not-written", core::LogLevel::Warning)
              .add("pool", Write.m_Pool)
              .add("reason", Failure.what());
        }
      },
      asio::detached);
}

} // namespace yardrill::gateway
