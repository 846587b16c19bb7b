#include "LibGateway/FleetRecord.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <boost/asio/detached.hpp>
#include <sstream>

namespace yardrill::gateway {

namespace asio = boost::asio;

static const char Key[] = "yardrill/instances";
/// Least time between two writes.
static constexpr std::chrono::seconds WritePeriod{10};

bool FleetRecord::isItsKey(const std::string &Name) { return Name == Key; }

/// On each line an address, and after a blank the data hall.
static std::string toText(const FleetList &Instances) {
  std::string Out;
  for (const auto &[Address, Hall] : Instances)
    Out += Address.toString() + " " + Hall.value() + "\n";
  return Out;
}

FleetList FleetRecord::read(const platform::Entry &Change) {
  m_Revision = Change.m_IsDeleted ? platform::Revision() : Change.m_Modified;
  FleetList Out;
  std::istringstream Lines(Change.m_IsDeleted ? std::string() : Change.m_Value);
  for (std::string Line; std::getline(Lines, Line);) {
    std::size_t Blank = Line.find(' ');
    auto Address = config::Endpoint::parse(Line.substr(0, Blank));
    if (!Address || Blank == std::string::npos) {
      core::LogLine("store-entry-unreadable", core::LogLevel::Error)
          .add("key", Change.m_Key)
          .add("revision", Change.m_Modified);
      return {};
    }
    Out[*Address] = core::DataHallName(Line.substr(Blank + 1));
  }
  return Out;
}

void FleetRecord::write(const FleetList &Instances, core::TimePoint Now) {
  if (Now - m_TriedAt <= WritePeriod)
    return;
  m_TriedAt = Now;
  asio::spawn(
      m_Context,
      [this, Instances](asio::yield_context Yield) {
        writeNow(Instances, Yield);
      },
      asio::detached);
}

void FleetRecord::writeNow(const FleetList &Instances,
                           asio::yield_context Yield) {
  platform::CompareAndSwap Swap{
      Key, m_Revision, {{Key, toText(Instances), std::nullopt}}};
  try {
    bool IsWritten =
        m_Store.compareAndSwap(Swap, platform::CallClass::Control, Yield)
            .m_IsSwapped;
    core::LogLine("fleet-recorded")
        .add("instances", Instances.size())
        .add("is_written", IsWritten);
  } catch (const core::Error &Failure) {
    core::LogLine("fleet-not-recorded", core::LogLevel::Warning)
        .add("reason", Failure.what());
  }
}

} // namespace yardrill::gateway
