//===-- SharedStore.h - Mock store that several gateways follow -----------===//
#ifndef YARDRILL_TESTS_SUPPORT_SHAREDSTORE_H
#define YARDRILL_TESTS_SUPPORT_SHAREDSTORE_H

#include "EmptyStore.h"

#include "LibCore/Error.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>

namespace yardrill::tests {

/// In-memory store with all entries and the history of changes. Thread-safe;
/// watches wait on the event loop of the caller. Can go back to a copy, after
/// which counts are given out again in a new era.
class SharedStore final : public EmptyStore {
public:
  std::vector<platform::Entry> readPrefix(const std::string &,
                                          platform::CallClass,
                                          boost::asio::yield_context) override {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    failIfDown();
    std::vector<platform::Entry> Out;
    for (const auto &[Key, Each] : m_Entries)
      if (!Each.m_IsDeleted)
        Out.push_back(Each);
    return Out;
  }
  std::optional<platform::Entry> read(const std::string &Key,
                                      platform::CallClass,
                                      boost::asio::yield_context) override {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    failIfDown();
    auto Found = m_Entries.find(Key);
    if (Found == m_Entries.end() || Found->second.m_IsDeleted)
      return std::nullopt;
    return Found->second;
  }
  void
  watch(const std::string &, platform::Revision After,
        const std::function<bool(const std::vector<platform::Entry> &)> &Notify,
        boost::asio::yield_context Yield) override {
    boost::asio::steady_timer Pause(Yield.get_executor());
    while (true) {
      Pause.expires_after(std::chrono::milliseconds(5));
      boost::system::error_code Ignored;
      Pause.async_wait(Yield[Ignored]);
      failIfOfOtherEra(After);
      std::vector<platform::Entry> Changes = changesAfter(After);
      if (Changes.empty())
        continue;
      After = Changes.back().m_ModRevision;
      if (!Notify(Changes))
        return;
    }
  }
  platform::Revision lastRevision() const override {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_LastRevision;
  }
  platform::SwapResult compareAndSwap(const platform::CompareAndSwap &Swap,
                                      platform::CallClass,
                                      boost::asio::yield_context) override {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    failIfDown();
    platform::SwapResult Out;
    const platform::Entry &Current = m_Entries[Swap.m_Key];
    platform::Revision CurrentRevision =
        Current.m_IsDeleted ? platform::Revision() : Current.m_ModRevision;
    if (CurrentRevision != Swap.m_Expected) {
      Out.m_Current = Current;
      return Out;
    }
    ++m_Swaps;
    for (const platform::Put &Each : Swap.m_Puts)
      apply(Each.m_Key, Each.m_Value, false);
    Out.m_IsSwapped = true;
    Out.m_Revision = m_LastRevision;
    return Out;
  }

  void put(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    apply(Key, Value, false);
  }
  void remove(const std::string &Key) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    apply(Key, "", true);
  }
  std::string valueOf(const std::string &Key) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto Found = m_Entries.find(Key);
    return Found == m_Entries.end() ? "" : Found->second.m_Value;
  }
  /// Returns the number of successful compareAndSwap() calls.
  int swaps() const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Swaps;
  }
  void keepCopy() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_CopiedEntries = m_Entries;
    m_CopiedRevision = m_LastRevision;
  }
  /// Goes back to the copy.
  void restoreCopy() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Entries = m_CopiedEntries;
    m_Changes.clear();
    ++m_Era;
    m_LastRevision = inEra(m_CopiedRevision);
    for (auto &[Key, Each] : m_Entries)
      Each.m_ModRevision = inEra(Each.m_ModRevision);
  }
  /// Makes reads, swaps and watches fail while \p IsDown.
  void setDown(bool IsDown) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsDown = IsDown;
  }

private:
  void failIfDown() const {
    if (m_IsDown)
      throw core::Error(core::ErrorKind::Unavailable, "down");
  }
  std::vector<platform::Entry> changesAfter(platform::Revision After) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    failIfDown();
    std::vector<platform::Entry> Out;
    for (const platform::Entry &Each : m_Changes)
      if (After < Each.m_ModRevision)
        Out.push_back(Each);
    return Out;
  }
  platform::Revision inEra(platform::Revision Of) const {
    return platform::makeRevision(m_Era, platform::countOf(Of));
  }
  void failIfOfOtherEra(platform::Revision After) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (platform::eraOf(After) != m_Era)
      throw core::Error(core::ErrorKind::Conflict, "restored");
  }
  void apply(const std::string &Key, const std::string &Value, bool IsDeleted) {
    m_LastRevision = platform::Revision(m_LastRevision.value() + 1);
    m_Entries[Key] = {Key, Value, m_LastRevision, IsDeleted};
    m_Changes.push_back(m_Entries[Key]);
  }

  mutable std::mutex m_Mutex;
  std::map<std::string, platform::Entry> m_Entries;
  std::vector<platform::Entry> m_Changes;
  platform::Revision m_LastRevision;
  std::map<std::string, platform::Entry> m_CopiedEntries;
  platform::Revision m_CopiedRevision;
  std::int64_t m_Era = 0;
  int m_Swaps = 0;
  bool m_IsDown = false;
};

} // namespace yardrill::tests

#endif
