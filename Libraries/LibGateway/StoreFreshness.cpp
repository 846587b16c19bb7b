#include "LibGateway/StoreFreshness.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <boost/asio/detached.hpp>

namespace yardrill::gateway {

namespace asio = boost::asio;

/// Prefix without entries: only the revision of the response matters.
static const char UnusedPrefix[] = "yardrill/none/";
static constexpr std::chrono::milliseconds PollPeriod{5};

bool StoreFreshness::confirm(asio::yield_context Yield) {
  bool MustRun = !m_Next;
  if (MustRun)
    m_Next = std::make_shared<Round>(m_Context);
  RoundHandle Own = m_Next;
  if (MustRun)
    asio::spawn(
        m_Context, [this, Own](asio::yield_context Inner) { run(Own, Inner); },
        asio::detached);
  boost::system::error_code Ignored;
  if (!Own->m_IsDone)
    Own->m_Done.async_wait(Yield[Ignored]);
  return Own->m_IsFresh;
}

void StoreFreshness::pause(core::Duration Length,
                           asio::yield_context Yield) const {
  core::Timer Timer(m_Context, Length);
  boost::system::error_code Ignored;
  Timer.async_wait(Yield[Ignored]);
}

void StoreFreshness::run(const RoundHandle &Current,
                         asio::yield_context Yield) {
  while (m_IsReading || core::steadyNow() - m_ReadAt < ReadPeriod)
    pause(PollPeriod, Yield);
  m_Next.reset();
  m_IsReading = true;
  m_ReadAt = core::steadyNow();
  Current->m_IsFresh = readAndCatchUp(Yield);
  m_IsReading = false;
  Current->m_IsDone = true;
  Current->m_Done.cancel();
}

bool StoreFreshness::readAndCatchUp(asio::yield_context Yield) {
  platform::Revision Newest;
  try {
    m_Store.readPrefix(UnusedPrefix, platform::CallClass::Control, Yield);
    Newest = m_Store.lastRevision();
  } catch (const core::Error &Failure) {
    core::LogLine("store-freshness-unknown", core::LogLevel::Warning)
        .add("reason", Failure.what());
    return false;
  }
  core::TimePoint End = m_ReadAt + Timeout;
  while (m_Mirror.completeRevision() < Newest) {
    if (End <= core::steadyNow())
      return false;
    pause(PollPeriod, Yield);
  }
  return true;
}

} // namespace yardrill::gateway
