#include "LibGateway/StoreFollower.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibCore/Timer.h"
#include "LibPlatform/Backoff.h"

#include <boost/asio/detached.hpp>

namespace yardrill::gateway {

namespace asio = boost::asio;
using platform::CallClass;

/// Everything: one watch costs one call where three would cost three.
static const char EverythingPrefix[] = "";
/// Pauses after failures: the first is about a call's own time, the longest
/// keeps the return of the store within the time a configuration may take.
static constexpr std::chrono::milliseconds MinBackoff{100};
static constexpr std::chrono::milliseconds MaxBackoff{800};

/// How often it is asked whether to wait for peers.
static constexpr std::chrono::milliseconds WaitPeriod{10};
/// How often an instance that leaves the store to others asks whether it may.
static constexpr std::chrono::milliseconds EnabledPollPeriod{250};

void StoreFollower::start(std::function<bool(core::Duration)> MustWait) {
  asio::spawn(
      m_Context,
      [this, MustWait = std::move(MustWait)](asio::yield_context Yield) {
        core::TimePoint Begin = core::steadyNow();
        while (MustWait(core::steadyNow() - Begin))
          pause(WaitPeriod, Yield);
        run(Yield);
      },
      asio::detached);
}

void StoreFollower::pause(core::Duration Length, asio::yield_context Yield) {
  core::Timer Timer(m_Context, Length);
  boost::system::error_code Ignored;
  Timer.async_wait(Yield[Ignored]);
}

void StoreFollower::noteConnected() {
  if (m_IsConnected)
    return;
  m_IsConnected = true;
  core::LogLine("store-connected").add("revision", m_Mirror.revision());
}

void StoreFollower::noteLost(const std::exception &Failure) {
  if (!m_IsConnected)
    return;
  m_IsConnected = false;
  core::LogLine("store-lost", core::LogLevel::Warning)
      .add("revision", m_Mirror.revision())
      .add("reason", Failure.what());
}

void StoreFollower::run(asio::yield_context Yield) {
  platform::Backoff RetryBackoff(MinBackoff, MaxBackoff, core::randomBits());
  while (true) {
    if (!m_IsEnabled) {
      m_IsConnected = false;
      pause(EnabledPollPeriod, Yield);
      continue;
    }
    bool WasConnected = m_IsConnected;
    try {
      readAndWatch(Yield);
    } catch (const core::Error &Failure) {
      if (Failure.kind() == core::ErrorKind::Conflict)
        m_MustReadAll = true;
      if (m_IsConnected && !WasConnected)
        RetryBackoff.reset();
      noteLost(Failure);
    }
    pause(RetryBackoff.next(), Yield);
  }
}

void StoreFollower::readAndWatch(asio::yield_context Yield) {
  if (m_MustReadAll || m_Mirror.revision() == platform::Revision()) {
    auto Content =
        m_Store.readPrefix(EverythingPrefix, CallClass::Control, Yield);
    m_Mirror.replaceAll(m_Store.lastRevision(), Content);
    m_MustReadAll = false;
    noteConnected();
  }
  // From before the first value that is wanted: the store has it, whatever
  // becomes of the instances that told of it.
  m_Store.watch(
      EverythingPrefix, m_Mirror.completeRevision(),
      [this](const std::vector<platform::Entry> &Changes) {
        m_Mirror.apply(m_Store.lastRevision(), Changes);
        noteConnected();
        return m_IsEnabled;
      },
      Yield);
}

} // namespace yardrill::gateway
