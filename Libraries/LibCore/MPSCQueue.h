//===-- Ring.h - A bounded ring between two duties ------------------------===//
#ifndef YARDRILL_LIBCORE_MPSCQUEUE_H
#define YARDRILL_LIBCORE_MPSCQUEUE_H

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

namespace yardrill::core {

/// Many producers, one consumer, a fixed capacity. A full ring refuses, so
/// that the producer answers for it; it never blocks and never grows.
template <class T> class MPSCQueue {
public:
  /// \param Wake called by a producer when the consumer has to call drain().
  MPSCQueue(std::size_t Capacity, std::function<void()> Wake)
      : m_Queue(Capacity), m_Wake(std::move(Wake)) {}
  MPSCQueue(const MPSCQueue &) = delete;
  MPSCQueue &operator=(const MPSCQueue &) = delete;
  ~MPSCQueue() {
    T *Value = nullptr;
    while (m_Queue.pop(Value))
      delete Value;
  }

  /// \returns false when the ring is full; \p Value is then dropped.
  bool tryPush(T Value) {
    auto Owned = std::make_unique<T>(std::move(Value));
    if (!m_Queue.bounded_push(Owned.get()))
      return false;
    (void)Owned.release();
    if (!m_IsWakePending.exchange(true))
      m_Wake();
    return true;
  }

  /// For values that must not be lost: waits for room. A ring that is sized for
  /// all that can be under way has none only behind a stalled consumer.
  void push(const T &Value) {
    while (!tryPush(Value))
      std::this_thread::sleep_for(FullRetryInterval);
  }

  /// Hands every waiting value to \p Handle, on the consumer's thread.
  template <class Function> void drain(Function &&Handle) {
    // Cleared before the first pop: a value pushed later wakes us again.
    m_IsWakePending.store(false);
    T *Value = nullptr;
    while (m_Queue.pop(Value)) {
      std::unique_ptr<T> Owned(Value);
      Handle(std::move(*Owned));
    }
  }

private:
  static constexpr std::chrono::microseconds FullRetryInterval{50};

  boost::lockfree::queue<T *, boost::lockfree::fixed_sized<true>> m_Queue;
  std::function<void()> m_Wake;
  std::atomic<bool> m_IsWakePending{false};
};

} // namespace yardrill::core

#endif
