#include "LibGateway/FleetSizeRecord.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <boost/asio/detached.hpp>
#include <charconv>

namespace yardrill::gateway {

namespace asio = boost::asio;

static const char Key[] = "yardrill/fleet-size";
/// Least time between two writes.
static constexpr std::chrono::seconds WritePeriod{10};

bool FleetSizeRecord::isItsKey(const std::string &Name) { return Name == Key; }

std::size_t FleetSizeRecord::read(const platform::Entry &Change) {
  m_Revision = Change.m_IsDeleted ? platform::Revision() : Change.m_Modified;
  if (Change.m_IsDeleted)
    return 0;
  std::size_t Size = 0;
  const std::string &Text = Change.m_Value;
  auto [Last, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Size);
  if (Code == std::errc() && Last == Text.data() + Text.size())
    return Size;
  core::LogLine("store-entry-unreadable", core::LogLevel::Error)
      .add("key", Change.m_Key)
      .add("revision", Change.m_Modified);
  return 0;
}

void FleetSizeRecord::write(std::size_t Size, core::TimePoint Now) {
  if (Now - m_TriedAt <= WritePeriod)
    return;
  m_TriedAt = Now;
  asio::spawn(
      m_Context,
      [this, Size](asio::yield_context Yield) { writeNow(Size, Yield); },
      asio::detached);
}

void FleetSizeRecord::writeNow(std::size_t Size, asio::yield_context Yield) {
  platform::CompareAndSwap Swap{
      Key, m_Revision, {{Key, std::to_string(Size), std::nullopt}}};
  try {
    bool IsWritten =
        m_Store.compareAndSwap(Swap, platform::CallClass::Control, Yield)
            .m_IsSwapped;
    core::LogLine("fleet-size-recorded")
        .add("size", Size)
        .add("is_written", IsWritten);
  } catch (const core::Error &Failure) {
    core::LogLine("fleet-size-not-recorded", core::LogLevel::Warning)
        .add("reason", Failure.what());
  }
}

} // namespace yardrill::gateway
