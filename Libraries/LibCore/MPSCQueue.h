//===-- MPSCQueue.h - Bounded queue between threads -----------------------===//
#ifndef YARDRILL_LIBCORE_MPSCQUEUE_H
#define YARDRILL_LIBCORE_MPSCQUEUE_H

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

namespace yardrill::core {

/// Queue with many producers, one consumer and a fixed capacity, by which
/// threads send messages to an EventLoopThread. tryPush() never blocks: a full
/// queue rejects the value, and the producer handles the overload.
template <class T> class MPSCQueue {
public:
  /// \param Wake makes the consumer call drain(); runs on a producer's thread.
  MPSCQueue(std::size_t Capacity, std::function<void()> Wake)
      : m_Queue(Capacity), m_Wake(std::move(Wake)) {}
  MPSCQueue(const MPSCQueue &) = delete;
  MPSCQueue &operator=(const MPSCQueue &) = delete;
  ~MPSCQueue() {
    T *Value = nullptr;
    while (m_Queue.pop(Value))
      delete Value;
  }

  /// Returns false when the queue is full; \p Value is then dropped.
  bool tryPush(T Value) {
    auto Owned = std::make_unique<T>(std::move(Value));
    if (!m_Queue.bounded_push(Owned.get()))
      return false;
    (void)Owned.release();
    if (!m_IsWakePending.exchange(true))
      m_Wake();
    return true;
  }

  /// Blocks until there is room, for values that must not be lost. A queue
  /// sized for all messages in flight is full only behind a stalled consumer.
  void push(const T &Value) {
    while (!tryPush(Value))
      std::this_thread::sleep_for(FullRetryInterval);
  }

  /// Passes all queued values to \p Handle. Runs on the consumer's thread.
  template <class Function> void drain(Function &&Handle) {
    // Cleared before the first pop, so that a later push wakes the consumer.
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
