//===-- StoreFollower.cpp - Mirrors the store -----------------------------===//
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

/// Prefix of all keys. Each watch is billed as a call, so one covers them all.
static const char EverythingPrefix[] = "";
/// Backoff after failures: at first about the duration of a call, at most so
/// long that a configuration still takes effect in time once the store is back.
static constexpr std::chrono::milliseconds MinBackoff{100};
static constexpr std::chrono::milliseconds MaxBackoff{800};

/// Period at which MustWait is called.
static constexpr std::chrono::milliseconds WaitPeriod{10};
/// Period at which a disabled follower checks whether it was enabled.
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

void StoreFollower::noteConnected(core::TimePoint AskedAt) {
  m_HeardAt = AskedAt;
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
  core::TimePoint AskedAt = core::steadyNow();
  if (m_MustReadAll || m_Mirror.revision() == platform::Revision()) {
    auto Content =
        m_Store.readPrefix(EverythingPrefix, CallClass::Control, Yield);
    m_Mirror.replaceAll(m_Store.lastRevision(), Content);
    m_MustReadAll = false;
    noteConnected(AskedAt);
    AskedAt = core::steadyNow();
  }
  // Starts before the oldest pending value: the store has it, even if the peers
  // that reported it are gone.
  m_Store.watch(
      EverythingPrefix, m_Mirror.completeRevision(),
      [this, AskedAt](const std::vector<platform::Entry> &Changes) mutable {
        m_Mirror.apply(m_Store.lastRevision(), Changes);
        noteConnected(AskedAt);
        AskedAt = core::steadyNow();
        return m_IsEnabled;
      },
      Yield);
}

} // namespace yardrill::gateway
