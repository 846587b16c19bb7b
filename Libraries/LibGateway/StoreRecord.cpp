//===-- StoreRecord.cpp - Entry in the store that instances maintain ------===//
#include "LibGateway/StoreRecord.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>

namespace yardrill::gateway {

namespace asio = boost::asio;

std::string StoreRecord::read(const platform::Entry &Change) {
  m_Revision = Change.m_IsDeleted ? platform::Revision() : Change.m_ModRevision;
  m_Text = Change.m_IsDeleted ? std::string() : Change.m_Value;
  return m_Text;
}

void StoreRecord::logUnreadable(const platform::Entry &Change) const {
  core::LogLine("store-entry-unreadable", core::LogLevel::Error)
      .add("key", Change.m_Key)
      .add("revision", Change.m_ModRevision);
}

void StoreRecord::write(const std::string &Text, core::TimePoint Now) {
  if (Now - m_LastAttemptAt <= m_WritePeriod)
    return;
  m_LastAttemptAt = Now;
  asio::spawn(
      m_Context,
      [this, Text](asio::yield_context Yield) { writeNow(Text, Yield); },
      asio::detached);
}

std::optional<platform::LeaseId> StoreRecord::lease(asio::yield_context Yield) {
  core::TimePoint Now = core::steadyNow();
  if (!m_Lifetime || (m_Lease && Now - m_LeaseGrantedAt < *m_Lifetime / 2))
    return m_Lease;
  m_Lease =
      m_Store.grantLease(*m_Lifetime, platform::CallClass::Control, Yield);
  m_LeaseGrantedAt = Now;
  return m_Lease;
}

void StoreRecord::writeNow(const std::string &Text, asio::yield_context Yield) {
  std::string Key = keyOf(m_Name);
  try {
    platform::CompareAndSwap Swap{Key, m_Revision, {{Key, Text, lease(Yield)}}};
    bool IsWritten =
        m_Store.compareAndSwap(Swap, platform::CallClass::Control, Yield)
            .m_IsSwapped;
    core::LogLine("record-written")
        .add("record", m_Name)
        .add("bytes", Text.size())
        .add("is_written", IsWritten);
  } catch (const core::Error &Failure) {
    // The lease may have ended.
    m_Lease.reset();
    core::LogLine("record-not-written", core::LogLevel::Warning)
        .add("record", m_Name)
        .add("reason", Failure.what());
  }
}

} // namespace yardrill::gateway
