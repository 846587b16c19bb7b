//===-- ChangingStore.h - Mock store with content that a test changes -----===//
#ifndef YARDRILL_TESTS_SUPPORT_CHANGINGSTORE_H
#define YARDRILL_TESTS_SUPPORT_CHANGINGSTORE_H

#include "EmptyStore.h"

#include "LibCore/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>
#include <utility>

namespace yardrill::tests {

/// Mock store of one gateway. readPrefix() returns m_Content, or fails while
/// that is empty; watch() reports the changes made by the test and by
/// compareAndSwap(). Changes do not alter m_Content.
class ChangingStore final : public EmptyStore {
public:
  explicit ChangingStore(boost::asio::io_context &Context)
      : m_Context(Context) {}

  std::vector<platform::Entry> m_Content;
  std::chrono::milliseconds m_ReadDelay{0};

  std::vector<platform::Entry>
  readPrefix(const std::string &, platform::CallClass,
             boost::asio::yield_context Yield) override {
    boost::asio::steady_timer Timer(m_Context, m_ReadDelay);
    boost::system::error_code Ignored;
    Timer.async_wait(Yield[Ignored]);
    if (m_Content.empty())
      throw core::Error(core::ErrorKind::Unavailable, "down");
    return m_Content;
  }
  void
  watch(const std::string &, platform::Revision,
        const std::function<bool(const std::vector<platform::Entry> &)> &Notify,
        boost::asio::yield_context Yield) override {
    boost::asio::steady_timer Pause(m_Context);
    while (true) {
      Pause.expires_after(std::chrono::milliseconds(5));
      boost::system::error_code Ignored;
      Pause.async_wait(Yield[Ignored]);
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (m_Changes.empty() && std::exchange(m_IsHistoryForgotten, false)) {
        m_LastRevision = platform::Revision(m_NextRevision++);
        throw core::Error(core::ErrorKind::Conflict, "history is forgotten");
      }
      if (m_Changes.empty())
        continue;
      m_LastRevision = m_Changes.back().m_ModRevision;
      Notify(std::exchange(m_Changes, {}));
    }
  }
  platform::Revision lastRevision() const override { return m_LastRevision; }
  platform::SwapResult compareAndSwap(const platform::CompareAndSwap &Swap,
                                      platform::CallClass,
                                      boost::asio::yield_context) override {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    platform::SwapResult Out;
    if (m_Revisions[Swap.m_Key] != Swap.m_Expected)
      return Out;
    for (const platform::Put &Each : Swap.m_Puts)
      put({Each.m_Key, Each.m_Value, platform::Revision(m_NextRevision)});
    Out.m_IsSwapped = true;
    Out.m_Revision = platform::Revision(m_NextRevision++);
    return Out;
  }
  /// Returns the last value that a change or swap gave to the key, or "".
  /// Thread-safe.
  std::string valueOf(const std::string &Key) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Values[Key];
  }
  /// Thread-safe.
  void change(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    put({Key, Value, platform::Revision(m_NextRevision++)});
  }
  /// Thread-safe.
  void remove(const std::string &Key) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    put({Key, "", platform::Revision(m_NextRevision++), true});
  }

  /// Makes the watch fail after the changes made so far, so that all content is
  /// read again, at a later revision. Thread-safe.
  void forgetHistory() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsHistoryForgotten = true;
  }

private:
  void put(platform::Entry Entry) {
    m_Revisions[Entry.m_Key] =
        Entry.m_IsDeleted ? platform::Revision() : Entry.m_ModRevision;
    m_Values[Entry.m_Key] = Entry.m_Value;
    m_Changes.push_back(std::move(Entry));
  }

  boost::asio::io_context &m_Context;
  std::map<std::string, platform::Revision> m_Revisions;
  std::map<std::string, std::string> m_Values;
  platform::Revision m_LastRevision{9};
  std::int64_t m_NextRevision = 10;
  std::mutex m_Mutex;
  std::vector<platform::Entry> m_Changes;
  bool m_IsHistoryForgotten = false;
};

} // namespace yardrill::tests

#endif
